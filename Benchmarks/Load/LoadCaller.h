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

/// One caller: it asks which addresses to use, keeps that answer for a while, sends requests one
/// after another, and retries elsewhere under the same key.
class LoadCaller
{
public:
    LoadCaller(const LoadOptions &options, int number);

    /// Sends requests until the time is over.
    std::vector<LoadRecord> run(std::chrono::steady_clock::time_point until);

private:
    struct Reply
    {
        int status = 0;
        std::string body;
        double firstMilliseconds = 0;
        /// False when the connection failed or the answer broke off.
        bool isWhole = false;
    };

    void askEntry();
    LoadRecord sendOne();
    Reply send(const LoadRecord &record, const std::string &address, const std::string &marker);
    bool judge(LoadRecord &record, const Reply &reply, const std::string &marker);
    std::string takeKey(LoadKind kind);

    const LoadOptions &m_options;
    const std::string m_team;
    std::mt19937_64 m_random;
    std::vector<std::string> m_addresses;
    std::vector<std::string> m_mintedIds;
    std::string m_mintedAt;
    std::chrono::steady_clock::time_point m_keepUntil;
    int m_number;
    int m_requests = 0;
};

} // namespace Carawaykeel::Load
