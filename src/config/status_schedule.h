#pragma once

/// @file
/// Decides when the reporter of a service writes the service's status into the store: on changes only, at a limited rate, and with
/// exponential backoff after failures.

#include <chicoryspar/core.h>

namespace chicoryspar {

struct StatusScheduleOptions
{
    /// Minimum time between two writes.
    Duration period = std::chrono::seconds(15);
    /// Maximum delay before a retry after failures.
    Duration maxBackoff = std::chrono::minutes(4);
};

/// Schedule of the status writes of one node, for the service of its backend server.
class StatusSchedule
{
public:
    explicit StatusSchedule(const StatusScheduleOptions &options = {});

    /// Returns whether a write is due.
    /// @param isReporter whether this node ranks first among the current members of the service
    /// @param contentHash hash of the status to write, without its timestamps
    bool shouldWrite(TimePoint now, bool isReporter, std::uint64_t contentHash) const;

    /// Records the start of a write; no other one is due until endWrite().
    void beginWrite(std::uint64_t contentHash);

    /// Records the end of the write; a failed one is retried after a backoff.
    void endWrite(TimePoint now, bool hasSucceeded);

private:
    StatusScheduleOptions m_options;
    TimePoint m_nextWriteAt{};
    Duration m_backoff{0};
    std::uint64_t m_pendingHash = 0;
    std::uint64_t m_writtenHash = 0;
    bool m_isWriting = false;
};

/// Returns the member that reports the status of @a service, or an invalid id if @a members is empty. The choice doesn't depend on
/// the order of @a members, so that all nodes make the same one.
NodeId chooseReporter(std::vector<NodeId> members, std::string_view service);

} // namespace chicoryspar
