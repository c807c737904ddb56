#include "StandInServer.h"

#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <csignal>
#include <cstdio>
#include <fmt/core.h>
#include <sstream>
#include <utility>

namespace StandIns {

namespace {

constexpr int MaxThreads = 700;
constexpr int ThreadStackSize = 256 * 1'024;
constexpr int ThreadIdleSeconds = 10;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const std::function<void(Request &, Response &)> &function)
        : m_function(function)
    {
    }
    void handleRequest(Request &request, Response &response) override
    {
        m_function(request, response);
    }

private:
    const std::function<void(Request &, Response &)> &m_function;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionHandlerFactory(std::function<void(Request &, Response &)> function)
        : m_function(std::move(function))
    {
    }
    Poco::Net::HTTPRequestHandler *createRequestHandler(const Request &) override
    {
        return new FunctionHandler(m_function);
    }

private:
    std::function<void(Request &, Response &)> m_function;
};

} // namespace

namespace {

constexpr int ExitAddressInUse = 4;

/// Returns a listener on `address`. Ends the process if another process uses the address.
Poco::Net::ServerSocket listenOrExit(const std::string &address)
{
    try {
        return Carawaykeel::Net::makeExclusiveListener(
            Poco::Net::SocketAddress(address), MaxThreads);
    } catch (const Poco::Exception &ex) {
        fmt::print(stderr, "cannot listen on {}: {}\n", address, ex.displayText());
        std::exit(ExitAddressInUse);
    }
}

} // namespace

int serve(const std::string &address, std::function<void(Request &, Response &)> handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Poco::ThreadPool threads(4, MaxThreads, ThreadIdleSeconds, ThreadStackSize);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams();
    params->setMaxThreads(MaxThreads);
    params->setMaxQueued(MaxThreads);
    Poco::Net::HTTPServer server(
        new FunctionHandlerFactory(std::move(handler)), threads, listenOrExit(address), params);
    server.start();
    int signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(0);
}

std::string readBody(std::istream &stream)
{
    std::string text;
    Poco::StreamCopier::copyToString(stream, text);
    return text;
}

Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

void sendJson(Response &response, int status, const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    const auto text = stream.str();
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(text.data(), text.size());
}

} // namespace StandIns
