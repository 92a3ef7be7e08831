#pragma once

/// @file
/// Token bucket of bytes to send.

#include <chicoryspar/core.h>

#include <algorithm>

namespace chicoryspar {

/// Limits the average rate and the bursts of the bytes sent.
struct SendBudget
{
    double bytesPerSecond = 0;
    double burstBytes = 0;
    double available = 0;
    TimePoint refilledAt{};

    /// Takes @a bytes from the budget if they are available at @a now.
    /// @returns whether they were taken
    bool trySpend(TimePoint now, std::size_t bytes)
    {
        const auto seconds = std::chrono::duration<double>(now - refilledAt).count();
        available = std::min(burstBytes, available + std::max(seconds, 0.0) * bytesPerSecond);
        refilledAt = now;
        if (available < static_cast<double>(bytes)) {
            return false;
        }
        available -= static_cast<double>(bytes);
        return true;
    }
};

} // namespace chicoryspar
