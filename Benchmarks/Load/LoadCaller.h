#pragma once

#include "LoadOptions.h"
#include "LoadRecord.h"

#include <Poco/Net/HTTPClientSession.h>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Carawaykeel::Load {

/// Simulates one caller. It fetches the entry addresses and caches them, sends one request at a
/// time, and retries at other addresses with the same idempotency key.
class LoadCaller
{
public:
    LoadCaller(const LoadOptions &options, int number);

    /// Sends requests until the given time and returns their records.
    std::vector<LoadRecord> run(std::chrono::steady_clock::time_point until);

private:
    struct AttemptResult
    {
        int status = 0;
        std::string body;
        double firstByteMilliseconds = 0;
        /// False if the connection failed or the response was incomplete.
        bool isComplete = false;
    };

    void fetchEntry();
    LoadRecord sendNextRequest();
    AttemptResult sendAttempt(
        const LoadRecord &record, const std::string &address, const std::string &marker);
    /// Records the outcome of an attempt. Returns true if the request is not to be retried.
    bool evaluateAttempt(
        LoadRecord &record, const AttemptResult &result, const std::string &marker);
    std::string nextRequestKey(LoadKind kind);

    const LoadOptions &m_options;
    const std::string m_team;
    std::mt19937_64 m_random;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_issuedRequestIds;
    std::string m_issuerAddress;
    std::chrono::steady_clock::time_point m_entryExpiresAt;
    int m_number;
    int m_requestCount = 0;
};

} // namespace Carawaykeel::Load
