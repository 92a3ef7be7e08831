#pragma once

/// @file
/// When the reporter of a service writes its status into the store: on change, at a bounded rate, and later after failures.

#include <chicoryspar/core.h>

namespace chicoryspar {

struct StatusScheduleOptions
{
    /// Least time between two writes.
    Duration period = std::chrono::seconds(15);
    /// Longest time between two tries after failures.
    Duration maxBackoff = std::chrono::minutes(4);
};

/// Schedule of one node for the service of its backend server.
class StatusSchedule
{
public:
    explicit StatusSchedule(const StatusScheduleOptions &options = {});

    /// Returns whether to write now.
    /// @param isReporter this node ranks first among the present members of the service
    /// @param contentHash hash of what would be written, without times
    bool shouldWrite(TimePoint now, bool isReporter, std::uint64_t contentHash) const;

    /// A write with this content begins; no other is due before its end.
    void beginWrite(std::uint64_t contentHash);

    /// The write ended.
    void endWrite(TimePoint now, bool hasSucceeded);

private:
    StatusScheduleOptions m_options;
    TimePoint m_nextWriteAt{};
    Duration m_backoff{0};
    std::uint64_t m_pendingHash = 0;
    std::uint64_t m_writtenHash = 0;
    bool m_isWriting = false;
};

/// Returns the node that reports the status of @a service, or an invalid one when @a members is empty.
NodeId chooseReporter(std::vector<NodeId> members, std::string_view service);

} // namespace chicoryspar
