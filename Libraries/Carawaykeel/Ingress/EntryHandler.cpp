#include <Carawaykeel/Ingress/EntryHandler.h>

#include <Carawaykeel/Ingress/FailureAnswer.h>

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
    Http::RequestHead head, std::string, Caller &caller)
{
    if (m_dialect.isReadyQuestion(*head)) {
        Poco::Net::HTTPResponse answer(m_isReady()
                ? Poco::Net::HTTPResponse::HTTP_OK
                : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        caller.answer(answer, "");
        return nullptr;
    }
    const auto question = m_dialect.readEntryQuestion(*head);
    if (!question) {
        refuse(Base::ErrorKind::NotFound, caller);
        return nullptr;
    }
    const auto entries = m_entries(*question);
    if (entries.addresses.empty()) {
        refuse(Base::ErrorKind::Starting, caller);
        return nullptr;
    }
    Poco::Net::HTTPResponse answer(Poco::Net::HTTPResponse::HTTP_OK);
    answer.setContentType("application/json");
    caller.answer(answer, m_dialect.writeEntryAnswer(entries.addresses, entries.keep));
    return nullptr;
}

void EntryHandler::refuse(Base::ErrorKind kind, Caller &caller)
{
    answerWithFailure(caller, {kind, "", Base::Milliseconds()}, m_dialect);
}

} // namespace Carawaykeel::Ingress
