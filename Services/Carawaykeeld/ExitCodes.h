#pragma once

namespace Carawaykeel {

inline constexpr int ExitOk = 0;
inline constexpr int ExitTokensNotReturned = 1;
inline constexpr int ExitBadInput = 2;
inline constexpr int ExitUnreachable = 4;

} // namespace Carawaykeel
