#pragma once

/// @file
/// Relay of TCP connections and UDP datagrams to one target, with injected network faults.

#include "chicoryspar/core.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace chicoryspar::standin {

/// Fault mode of the relay.
enum class RelayMode : std::uint8_t {
    /// Forwards everything.
    Pass,
    /// Forwards nothing, neither on open and new connections nor datagrams; connections stay open.
    Silent,
    /// Connections that are open when the mode is set stay open, but never forward again; new ones and datagrams pass.
    Forget,
    /// Drops data sent to the target.
    DropToTarget,
    /// Drops data sent by the target.
    DropFromTarget,
    /// Each open connection forwards stallAfter more bytes in each direction, then nothing; new connections pass.
    Stall,
    /// Forwards TCP data after a delay.
    Delay,
    /// Closes every open connection, then passes.
    Cut,
    Count,
};

/// Finds a mode by its name: pass, silent, forget, drop-to-target, drop-from-target, stall, delay, cut.
std::optional<RelayMode> findRelayMode(std::string_view name);
std::string_view nameOf(RelayMode mode);

/// Fault mode and its parameters.
struct RelayCommand
{
    RelayMode mode = RelayMode::Pass;
    /// Bytes that each direction still forwards in mode Stall.
    std::size_t stallAfter = 0;
    /// Delay of each chunk in mode Delay.
    Duration delay{0};
};

/// Counters since the start, except open.
struct RelayCounts
{
    std::uint64_t connections = 0;
    /// Connections that are open now.
    std::uint64_t open = 0;
    std::uint64_t bytesToTarget = 0;
    std::uint64_t bytesFromTarget = 0;
    std::uint64_t datagrams = 0;
};

/// Listens on the same port number for TCP and UDP.
class Relay
{
public:
    /// @param listen IP address and port; port 0 selects a free one
    /// @param target IP address and port
    /// @throws std::exception when an address is invalid or can't be listened on
    Relay(boost::asio::io_context &io, const std::string &listen, const std::string &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    std::uint16_t port() const;
    void setCommand(const RelayCommand &command);
    RelayCommand command() const;
    RelayCounts counts() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace chicoryspar::standin
