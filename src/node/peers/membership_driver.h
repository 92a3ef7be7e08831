#pragma once

/// @file
/// Carries the datagrams of the membership state machine over UDP, on the number of the peers' port.

#include "node/context.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Counters of the datagrams of one node since its start.
struct DatagramCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams dropped because their signature or content was wrong.
    std::uint64_t rejected = 0;
};

/// Runs the membership of this node.
class MembershipDriver
{
public:
    /// Handles the payload that the configuration part of another node attached.
    using ConfigPayloadHandler = std::function<void(TimePoint now, NodeId from, std::uint64_t digest, const std::string &payload)>;

    explicit MembershipDriver(NodeContext &context);

    /// Opens the UDP port and joins.
    /// @param port number of the peers' TCP port
    std::error_code start(std::uint16_t port);

    /// Adds addresses of first contact to the seeds of the settings.
    void setContacts(std::vector<std::string> contacts);

    /// Sets the configuration summary that datagrams carry.
    void setConfigDigest(std::uint64_t digest, std::string payload);

    void setConfigPayloadHandler(ConfigPayloadHandler handler);

    /// Sends the own record and configuration summary to @a node at once.
    void sendOwnRecord(NodeId node);

    /// Asks @a node for its configuration digest.
    void requestConfigDigest(NodeId node);

    /// Tells the other members that this node leaves; it keeps running until stop().
    void beginLeave();
    void stop();

    const DatagramCounters &datagrams() const;
    const Membership &membership() const;

private:
    void announceBackend(TimePoint now);
    void armTimer();
    void receive();
    void handleDatagram(std::string_view datagram);
    void observeClock(TimePoint now, const MembershipMessage &message);
    void sendMessages(std::vector<OutgoingMessage> &out);
    void sendMessage(OutgoingMessage &outgoing);
    void recordChanges(TimePoint now);
    std::string sign(std::string_view payload) const;

    NodeContext &m_context;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::udp::endpoint m_sender;
    std::vector<char> m_buf;
    std::unique_ptr<Membership> m_membership;
    ConfigPayloadHandler m_configPayloadHandler;
    DatagramCounters m_counters;
    TimePoint m_nextSkewEventAt{};
    bool m_isStopped = false;
};

} // namespace chicoryspar
