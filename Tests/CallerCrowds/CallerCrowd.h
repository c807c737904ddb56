#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Tests {

/// What each caller of a crowd sends.
struct CallerScript
{
    /// Sent first, in one piece.
    std::string opening;
    /// Sent `pieceCount` times afterwards.
    std::string piece;
    std::size_t pieceCount = 0;
    /// Maximum bytes of the pieces in one write.
    std::size_t writeBytes = 65'536;
};

/// Connections from 127.0.0.1 that send their script, read nothing and stay open.
class CallerCrowd
{
public:
    CallerCrowd() = default;
    ~CallerCrowd();

    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    /// Opens connections to an address, as IP number and port.
    void add(const std::string &address, const CallerScript &script, int count);

    /// Sends until all callers have sent their script or were closed, or nothing more was taken for
    /// some time.
    void run();

private:
    struct Caller
    {
        int descriptor;
        const CallerScript *script;
        std::size_t sentBytes = 0;
        bool isDone = false;
    };

    static std::string_view nextBytes(const Caller &caller);
    static bool send(Caller &caller);

    /// Holds each script once; callers refer to it.
    std::vector<std::unique_ptr<const CallerScript>> m_scripts;
    std::vector<Caller> m_callers;
};

} // namespace Carawaykeel::Tests
