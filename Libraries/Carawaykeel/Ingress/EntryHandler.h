#pragma once

#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Ingress/RequestHandler.h>

#include <functional>
#include <string>
#include <vector>

namespace Carawaykeel::Ingress {

/// Where callers of a data centre are to connect, and how long that holds.
struct EntryResponse
{
    std::vector<std::string> addresses;
    Base::Milliseconds cacheTime;
};

/// Answers where to connect, and whether this instance takes requests.
class EntryHandler : public RequestHandler
{
public:
    using EntrySource = std::function<EntryResponse(const Forwarding::EntryQuery &)>;

    EntryHandler(
        const Forwarding::Dialect &dialect, EntrySource entries, std::function<bool()> isReady);

    std::shared_ptr<ActiveRequest> handle(
        Http::RequestHead head, std::string body, ResponseWriter &caller) override;
    void reject(Base::ErrorKind kind, ResponseWriter &caller) override;
    bool isDraining() const override { return false; }

private:
    const Forwarding::Dialect &m_dialect;
    const EntrySource m_entries;
    const std::function<bool()> m_isReady;
};

} // namespace Carawaykeel::Ingress
