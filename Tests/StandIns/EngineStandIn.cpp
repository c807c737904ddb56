// Stub of a model engine: OpenAI-compatible chat completions, attempts that can be cancelled and
// queried, and injected faults that the router must hide from callers.
#include "StandInServer.h"

#include <CLI/CLI.hpp>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <atomic>
#include <chrono>
#include <fmt/core.h>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace {

using namespace StandIns;

std::string makeIncarnationId()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

struct Attempt
{
    int tokens = 0;
    bool isRunning = true;
    bool isCancelled = false;
};

class EngineStandIn
{
public:
    EngineStandIn(int tokenDelay, int responseTokens)
        : m_tokenDelay(tokenDelay)
        , m_responseTokens(responseTokens)
    {
    }

    void handle(Request &request, Response &response)
    {
        const Poco::URI uri(request.getURI());
        const auto &path = uri.getPath();
        const auto body = readBody(request.stream());
        if (path == "/faults")
            return setFaults(parseObject(body), response);
        if (path == "/oracle")
            return sendAttemptTokens(response);
        if (path.starts_with("/v1/attempts/"))
            return cancelAttempt(path.substr(std::string("/v1/attempts/").size()), response);
        if (path == "/v1/chat/completions")
            return complete(request, parseObject(body), response);
        sendJson(response, 404, Poco::JSON::Object());
    }

private:
    void setFaults(const Poco::JSON::Object::Ptr &faults, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = faults->optValue<std::string>("mode", m_mode);
        m_isLeaving = faults->optValue("leaving", m_isLeaving);
        m_tokenDelay = faults->optValue("token_delay_ms", m_tokenDelay.load());
        sendJson(response, 200, Poco::JSON::Object());
    }

    void sendAttemptTokens(Response &response)
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object attempts;
        for (const auto &[id, attempt] : m_attempts)
            attempts.set(id, attempt.tokens);
        Poco::JSON::Object object;
        object.set("attempts", attempts);
        sendJson(response, 200, object);
    }

    void cancelAttempt(const std::string &id, Response &response)
    {
        Poco::JSON::Object object;
        std::unique_lock lock(m_mutex);
        int tokens = 0;
        bool isSeen = false;
        for (auto it = m_attempts.lower_bound(id);
             it != m_attempts.end() && it->first.starts_with(id); ++it) {
            const bool isMatch = it->first.size() == id.size() || it->first[id.size()] == ':';
            if (!isMatch)
                continue;
            it->second.isCancelled = true;
            tokens += it->second.tokens;
            isSeen = true;
        }
        // An attempt that arrives after its cancellation must not run.
        if (!isSeen)
            m_rejectedIds.push_back(id);
        lock.unlock();
        object.set("state", isSeen ? "finished" : "never_seen");
        object.set("tokens", tokens);
        sendJson(response, 200, object);
    }

    bool isRejected(const std::string &id)
    {
        for (const auto &rejectedId : m_rejectedIds) {
            if (id.starts_with(rejectedId))
                return true;
        }
        return false;
    }

    /// Returns 200, or the HTTP status of the error response if the attempt was cancelled before.
    int beginAttempt(const std::string &id, int prompt)
    {
        const std::lock_guard lock(m_mutex);
        if (isRejected(id))
            return 409;
        m_attempts[id].tokens = prompt;
        return 200;
    }

    /// Produces one token. Returns false if the attempt has been cancelled.
    bool tryProduceToken(const std::string &id)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_tokenDelay));
        const std::lock_guard lock(m_mutex);
        auto &attempt = m_attempts[id];
        if (attempt.isCancelled)
            return false;
        ++attempt.tokens;
        return true;
    }

    static int countWords(const std::string &text)
    {
        int words = 0;
        bool isInWord = false;
        for (const char c : text) {
            const bool isSpace = c == ' ' || c == '\n';
            words += !isSpace && !isInWord ? 1 : 0;
            isInWord = !isSpace;
        }
        return words;
    }

    void complete(Request &request, const Poco::JSON::Object::Ptr &body, Response &response)
    {
        const auto id = request.get("X-Attempt-Id", "none");
        std::string mode;
        {
            const std::lock_guard lock(m_mutex);
            mode = m_mode;
            if (m_isLeaving)
                response.set("X-Leaving", "true");
        }
        if (mode == "refuse")
            return sendJson(response, 503, Poco::JSON::Object());
        std::string prompt;
        for (const auto &message : *body->getArray("messages")) {
            prompt +=
                message.extract<Poco::JSON::Object::Ptr>()->optValue<std::string>("content", "")
                + " ";
        }
        const auto promptTokens = countWords(prompt);
        const auto limit = body->optValue("max_tokens", m_responseTokens);
        const auto count = std::min(limit, m_responseTokens);
        if (const auto status = beginAttempt(id, promptTokens); status != 200)
            return sendJson(response, status, Poco::JSON::Object());
        response.set("X-Attempt-Id", mode == "crossed" ? "someone-else" : id);
        response.set("X-Load", fmt::format("{:.3f}", std::min(1.0, m_runningAttempts / 32.0)));
        ++m_runningAttempts;
        if (body->optValue("stream", false)) {
            streamCompletion(id, mode, prompt, promptTokens, count, response);
        } else {
            sendCompletion(id, mode, prompt, promptTokens, count, response);
        }
        --m_runningAttempts;
    }

    static Poco::JSON::Object makeUsage(int prompt, int completion)
    {
        Poco::JSON::Object object;
        object.set("prompt_tokens", prompt);
        object.set("completion_tokens", completion);
        object.set("total_tokens", prompt + completion);
        return object;
    }

    /// Returns an id that is unique across all engines and their incarnations.
    std::string makeResponseId()
    {
        return fmt::format("chatcmpl-{}-{}", m_incarnationId, ++m_responses);
    }

    void sendCompletion(const std::string &id, const std::string &mode, const std::string &prompt,
        int promptTokens, int count, Response &response)
    {
        std::string text;
        int produced = 0;
        for (; produced < count && tryProduceToken(id); ++produced)
            text += fmt::format("w{} ", produced);
        Poco::JSON::Object message;
        message.set("role", "assistant");
        message.set("content", text + "| " + prompt);
        Poco::JSON::Object choice;
        choice.set("index", 0);
        choice.set("message", message);
        choice.set("finish_reason", "stop");
        Poco::JSON::Array choices;
        choices.add(choice);
        Poco::JSON::Object object;
        object.set("id", makeResponseId());
        object.set("object", "chat.completion");
        object.set("created", 0);
        object.set("model", "standin");
        object.set("choices", choices);
        object.set("usage", makeUsage(promptTokens, produced));
        if (mode != "short")
            return sendJson(response, 200, object);
        std::ostringstream buf;
        object.stringify(buf);
        response.setContentType("application/json");
        response.setContentLength64(static_cast<Poco::Int64>(buf.str().size()));
        response.setKeepAlive(false);
        response.send() << buf.str().substr(0, buf.str().size() / 2) << std::flush;
    }

    void streamCompletion(const std::string &id, const std::string &mode, const std::string &prompt,
        int promptTokens, int count, Response &response)
    {
        response.setContentType("text/event-stream");
        response.setChunkedTransferEncoding(true);
        auto &out = response.send();
        const auto responseId = makeResponseId();
        const auto sendChunk = [&](const std::string &chunkId, const std::string &delta,
                                   const std::string &finishReason) {
            out << fmt::format(
                R"(data: {{"id":"{}","object":"chat.completion.chunk","created":0,"model":"standin","choices":[{{"index":0,"delta":{},"finish_reason":{}}}]}})",
                chunkId, delta, finishReason)
                << "\n\n"
                << std::flush;
        };
        sendChunk(responseId, R"({"role":"assistant","content":""})", "null");
        const auto finiteLimit = mode == "short" ? count / 2 : count;
        const auto tokenLimit = mode == "endless" ? 100'000 : finiteLimit;
        int produced = 0;
        for (; produced < tokenLimit && out.good() && tryProduceToken(id); ++produced) {
            const bool isMismatched = mode == "crossed_chunk" && produced == count / 2;
            sendChunk(isMismatched ? "chatcmpl-other" : responseId,
                fmt::format(R"({{"content":"w{} "}})", produced), "null");
        }
        if (mode == "short")
            return;
        (void)prompt;
        sendChunk(responseId, "{}", R"("stop")");
        std::ostringstream buf;
        makeUsage(promptTokens, produced).stringify(buf);
        out << fmt::format(
            R"(data: {{"id":"{}","object":"chat.completion.chunk","created":0,"model":"standin","choices":[],"usage":{}}})",
            responseId, buf.str())
            << "\n\ndata: [DONE]\n\n"
            << std::flush;
    }

    std::mutex m_mutex;
    std::map<std::string, Attempt> m_attempts;
    std::vector<std::string> m_rejectedIds;
    std::string m_mode = "normal";
    bool m_isLeaving = false;
    std::atomic<int> m_tokenDelay;
    const int m_responseTokens;
    std::atomic<int> m_runningAttempts = 0;
    const std::string m_incarnationId = makeIncarnationId();
    std::atomic<std::uint64_t> m_responses = 0;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("standin-engine: a stub of a model engine that produces words.");
    std::string address;
    int tokenDelay = 5;
    int responseTokens = 40;
    app.add_option("--listen", address, "IP number and port")->required();
    app.add_option("--token-delay-ms", tokenDelay, "Time between tokens");
    app.add_option(
        "--answer-tokens", responseTokens, "Tokens of a response, unless the request allows fewer");
    CLI11_PARSE(app, argc, argv);
    EngineStandIn engine(tokenDelay, responseTokens);
    return serve(
        address, [&](Request &request, Response &response) { engine.handle(request, response); });
}
