#include <Carawaykeel/Ingress/EntryHandler.h>

#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <utility>

namespace Carawaykeel::Ingress {

EntryHandler::EntryHandler(
    const Forwarding::Dialect &dialect, EntrySource entries, std::function<bool()> isReady)
    : m_dialect(dialect)
    , m_entries(std::move(entries))
    , m_isReady(std::move(isReady))
{
}

std::shared_ptr<ActiveRequest> EntryHandler::handle(
    Http::RequestHead head, std::string, ResponseWriter &caller)
{
    if (m_dialect.isReadinessProbe(*head)) {
        Poco::Net::HTTPResponse answer(m_isReady()
                ? Poco::Net::HTTPResponse::HTTP_OK
                : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        caller.sendResponse(answer, "");
        return nullptr;
    }
    const auto question = m_dialect.readEntryQuery(*head);
    if (!question) {
        reject(Base::ErrorKind::NotFound, caller);
        return nullptr;
    }
    const auto entries = m_entries(*question);
    if (entries.addresses.empty()) {
        reject(Base::ErrorKind::Starting, caller);
        return nullptr;
    }
    Poco::Net::HTTPResponse answer(Poco::Net::HTTPResponse::HTTP_OK);
    answer.setContentType("application/json");
    caller.sendResponse(answer, m_dialect.writeEntryResponse(entries.addresses, entries.cacheTime));
    return nullptr;
}

void EntryHandler::reject(Base::ErrorKind kind, ResponseWriter &caller)
{
    sendErrorResponse(caller, {kind, "", Base::Milliseconds()}, m_dialect);
}

} // namespace Carawaykeel::Ingress
