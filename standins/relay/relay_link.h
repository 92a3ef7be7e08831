#pragma once

/// @file
/// One relayed TCP connection.

#include "standins/relay/relay.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>

namespace chicoryspar::standin {

constexpr std::size_t kBufferBytes = 16384;
constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

/// Fault mode and counters shared by all connections of a relay.
struct RelayShared
{
    RelayCommand command;
    RelayCounts counts;

    bool isDropping(bool toTarget) const;
};

/// Buffer and limits of one direction of a connection.
struct RelayPipe
{
    explicit RelayPipe(boost::asio::io_context &io)
        : timer(io)
    {
    }

    std::array<char, kBufferBytes> buffer{};
    boost::asio::steady_timer timer;
    /// Bytes still to be forwarded before the direction goes silent; kNoLimit for all.
    std::size_t remainingBytes = kNoLimit;
};

/// An accepted connection and the matching connection to the target.
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    using Tcp = boost::asio::ip::tcp;

    RelayLink(boost::asio::io_context &io, std::shared_ptr<RelayShared> shared, Tcp::socket client);
    ~RelayLink();

    void start(const Tcp::endpoint &target);
    /// Limits forwarding to @a bytes more in each direction.
    void limitForwarding(std::size_t bytes);
    void close();
    bool isClosed() const;

private:
    struct Direction
    {
        Tcp::socket &from;
        Tcp::socket &to;
        RelayPipe &pipe;
        bool toTarget;
    };

    bool isSilent() const;
    void read(const Direction &it);
    void onRead(const boost::system::error_code &ec, std::size_t n, const Direction &it);
    void write(std::size_t n, const Direction &it);

    std::shared_ptr<RelayShared> m_shared;
    Tcp::socket m_client;
    Tcp::socket m_target;
    RelayPipe m_toTarget;
    RelayPipe m_fromTarget;
    bool m_isClosed = false;
};

} // namespace chicoryspar::standin
