#pragma once

#include <Carawaykeel/Adapters/CallerHandler.h>
#include <Carawaykeel/Adapters/ChatRequest.h>
#include <Carawaykeel/Adapters/EventStreamRelay.h>

namespace Carawaykeel::Adapters {

/// POST /v1/chat/completions, streamed or not.
class ChatHandler : public CallerHandler
{
public:
    using CallerHandler::CallerHandler;

protected:
    Base::Result<void> tryHandle(const Configuration::TeamDeclaration &team,
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;

private:
    Base::Result<void> trySendFullResponse(DispatchedRequest &dispatched,
        const Configuration::ServiceDeclaration &service, Poco::Net::HTTPServerResponse &response);
    Base::Result<void> tryStreamResponse(DispatchedRequest &dispatched,
        const Configuration::ServiceDeclaration &service, const ChatRequest &chat,
        Poco::Net::HTTPServerResponse &response);
    Base::Result<void> tryForwardError(DispatchedRequest &dispatched,
        const Configuration::ServiceDeclaration &service, Poco::Net::HTTPServerResponse &response);
    void endStream(const DispatchedRequest &dispatched,
        const Configuration::ServiceDeclaration &service, RelayResult result, std::ostream &stream);
    bool complete(const Requests::Admission &admission, Base::Tokens used,
        Routing::SlotResult result, std::optional<Requests::StoredResponse> storedResponse);
};

} // namespace Carawaykeel::Adapters
