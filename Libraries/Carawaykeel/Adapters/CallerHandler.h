#pragma once

#include <Carawaykeel/Adapters/CallerContext.h>
#include <Carawaykeel/Adapters/HttpResponses.h>

#include <Poco/Net/HTTPRequestHandler.h>

namespace Carawaykeel::Adapters {

/// Base class of all handlers of callers' requests. Checks the size of the header and the team's
/// key, and turns failures into error responses.
class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit CallerHandler(CallerContext &context);

    void handleRequest(
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) final;

protected:
    /// Handles the request of an authenticated team. May fail only before any part of the response
    /// is sent.
    virtual Base::Result<void> tryHandle(const Configuration::TeamDeclaration &team,
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) = 0;

    /// Describes the request for admission. The key that identifies it across retries is the
    /// caller's idempotency key or, without one, a newly issued request id.
    Base::Result<Requests::RequestDescription> tryDescribe(
        const Configuration::TeamDeclaration &team, const Poco::Net::HTTPServerRequest &request);

    /// Reserves tokens and a server slot for the request. Fails if admission is refused.
    Base::Result<Requests::Admission> tryAdmit(Requests::RequestDescription description);

    /// Sends the stored response of the first run of the request.
    void sendReplay(
        const Requests::StoredResponse &storedResponse, Poco::Net::HTTPServerResponse &response);

    /// A dispatched request and the exchange with its server.
    struct DispatchedRequest
    {
        Requests::Admission admission;
        std::unique_ptr<BackendExchange> exchange;
    };

    /// Sends the request to the admitted server, and to another one if the first is unreachable.
    /// The admission is closed on failure.
    Base::Result<DispatchedRequest> trySend(
        Requests::Admission admission, BackendRequest backendRequest, bool supportsAttemptStatus);

    /// Returns the failure of a request that the server answered with an error status, which does
    /// not say whether it was executed.
    static Base::Failure failureOfServer(int status);

    /// Completes a dispatched request that failed and returns the failure.
    boost::leaf::error_id failDispatched(const Requests::Admission &admission,
        const Base::Failure &failure, bool supportsAttemptStatus);

    /// Returns the cost of a dispatched request whose usage was not reported: the server's count if
    /// the service supports attempt status, otherwise all reserved tokens.
    Base::Tokens costWithUnknownUsage(
        const Requests::Admission &admission, bool supportsAttemptStatus);

    /// Records the load and the leaving state that a response reports about its server.
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
