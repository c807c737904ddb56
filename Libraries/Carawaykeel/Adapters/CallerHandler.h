#pragma once

#include <Carawaykeel/Adapters/CallerContext.h>
#include <Carawaykeel/Adapters/HttpResponses.h>

#include <Poco/Net/HTTPRequestHandler.h>

namespace Carawaykeel::Adapters {

/// What all handlers of callers' requests do alike: check the header's size and the team's key, and
/// turn failures into answers.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallerHandler(CallerContext &context);

    void handleRequest(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) final;

protected:
    /// Answers the request of a team whose key was right. A failure may be returned only while
    /// nothing of the answer was sent.
    virtual Base::Result<void> tryHandle(const Configuration::TeamDeclaration &team,
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) = 0;

    /// The key that names the request across retries: the caller's own, or a minted one.
    Base::Result<Requests::RequestDescription> tryDescribe(
        const Configuration::TeamDeclaration &team, const Poco::Net::HTTPServerRequest &request);

    /// Asks the decisions. Fails with their refusal.
    Base::Result<Requests::Admission> tryAdmit(Requests::RequestDescription description);

    /// Answers with what the first run of the request answered.
    void sendReplay(
        const Requests::StoredResponse &storedResponse, Poco::Net::HTTPServerResponse &response);

    /// Sends the request to the admitted server, and to another one when the first could not be
    /// reached. On a failure the admission has been ended.
    struct DispatchedRequest
    {
        Requests::Admission admission;
        std::unique_ptr<BackendExchange> exchange;
    };
    Base::Result<DispatchedRequest> trySend(
        Requests::Admission admission, BackendRequest backendRequest, bool supportsAttemptStatus);

    /// Ends a dispatched request that went wrong and passes the failure on.
    boost::leaf::error_id failDispatched(const Requests::Admission &admission,
        const Base::Failure &failure, bool supportsAttemptStatus);

    /// What a dispatched request whose usage is unknown has cost: the server's own figure where it
    /// keeps attempts, else all that was reserved.
    Base::Tokens costWithUnknownUsage(
        const Requests::Admission &admission, bool supportsAttemptStatus);

    /// Takes note of what an answer says of its server.
    void recordServerState(
        const Requests::Admission &admission, const Poco::Net::HTTPResponse &response);

    CallerContext &context() { return m_context; }

private:
    Base::Result<void> tryRespond(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    Base::Result<Configuration::TeamDeclaration> tryAuthenticate(
        const Poco::Net::HTTPServerRequest &request);

    CallerContext &m_context;
};

} // namespace Carawaykeel::Adapters
