#include <Carawaykeel/Ingress/EntryHandler.h>

#include <Carawaykeel/Ingress/SendErrorResponse.h>

#include <utility>

namespace Carawaykeel::Ingress {

EntryHandler::EntryHandler(
    const Forwarding::Dialect &dialect, EntryProvider entryProvider, std::function<bool()> isReady)
    : m_dialect(dialect)
    , m_entryProvider(std::move(entryProvider))
    , m_isReady(std::move(isReady))
{
}

std::shared_ptr<ActiveRequest> EntryHandler::handle(
    Http::RequestHead head, std::string, ResponseWriter &responseWriter)
{
    if (m_dialect.isReadinessProbe(*head)) {
        Poco::Net::HTTPResponse response(m_isReady()
                ? Poco::Net::HTTPResponse::HTTP_OK
                : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        responseWriter.sendResponse(response, "");
        return nullptr;
    }
    auto outcome =
        Base::toOutcome<Forwarding::EntryQuery>([&] { return m_dialect.tryReadEntryQuery(*head); });
    if (const auto *failure = std::get_if<Base::Failure>(&outcome)) {
        reject(failure->kind, responseWriter);
        return nullptr;
    }
    const auto entry = m_entryProvider(std::get<Forwarding::EntryQuery>(outcome));
    if (entry.addresses.empty()) {
        reject(Base::ErrorKind::Starting, responseWriter);
        return nullptr;
    }
    Poco::Net::HTTPResponse response(Poco::Net::HTTPResponse::HTTP_OK);
    response.setContentType("application/json");
    responseWriter.sendResponse(
        response, m_dialect.writeEntryResponse(entry.addresses, entry.cacheTime));
    return nullptr;
}

void EntryHandler::reject(Base::ErrorKind kind, ResponseWriter &responseWriter)
{
    sendErrorResponse(responseWriter, {kind, "", Base::Milliseconds()}, m_dialect);
}

} // namespace Carawaykeel::Ingress
