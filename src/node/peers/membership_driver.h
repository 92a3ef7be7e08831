#pragma once

/// @file
/// Sends and receives the messages of the membership state machine over UDP, on the same port number as the peers' TCP port.

#include "node/context.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Datagram counters since the start of the node.
struct DatagramCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams dropped because the signature or the content was invalid.
    std::uint64_t rejected = 0;
};

/// Connects this node's Membership to the network, the timer and the event log.
class MembershipDriver
{
public:
    /// Handles the configuration digest and payload that node @a from attached to a message.
    using ConfigPayloadHandler = std::function<void(TimePoint now, NodeId from, std::uint64_t digest, const std::string &payload)>;

    /// Handles a payload of another part of a node that arrived in a datagram of its own.
    using PayloadHandler = std::function<void(TimePoint now, std::string_view payload)>;

    explicit MembershipDriver(NodeContext &context);

    /// Opens the UDP port and joins the cluster.
    /// @param port number of the peers' TCP port, which the UDP port shares
    std::error_code start(std::uint16_t port);

    /// Replaces the addresses to contact when joining, in addition to the seeds of the settings.
    void setContacts(std::vector<std::string> contacts);

    /// States that setContacts() will be called once the list of contacts has been read.
    void awaitContacts();

    /// Returns whether the contacts are known; true where there is no list of them.
    bool areContactsKnown() const;

    /// Returns the addresses of other nodes that setContacts() stated last.
    const std::vector<std::string> &contacts() const;

    /// Sets the configuration digest and payload that datagrams carry.
    void setConfigDigest(std::uint64_t digest, std::string payload);

    void setConfigPayloadHandler(ConfigPayloadHandler handler);

    /// Sends @a payload to @a node in a datagram of its own, signed like those of the membership. Does nothing if the node isn't known.
    void sendPayload(NodeId node, std::string_view payload);

    void setPayloadHandler(PayloadHandler handler);

    /// Sends this node's record and configuration digest to @a node at once.
    void sendOwnRecord(NodeId node);

    /// Asks @a node for its configuration digest.
    void requestConfigDigest(NodeId node);

    /// Announces to the other members that this node leaves; the driver keeps running until stop().
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
    void sendDatagram(const std::string &to, std::string_view payload);
    /// Records the changes of the membership and notifies the parts of the node that depend on it.
    void recordChanges(TimePoint now);
    std::string sign(std::string_view payload) const;

    NodeContext &m_context;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::udp::endpoint m_sender;
    std::vector<char> m_buf;
    std::unique_ptr<Membership> m_membership;
    ConfigPayloadHandler m_configPayloadHandler;
    PayloadHandler m_payloadHandler;
    DatagramCounters m_counters;
    TimePoint m_nextSkewEventAt{};
    std::vector<std::string> m_contacts;
    bool m_areContactsKnown = true;
    /// Membership::revision() at the last notification.
    std::uint64_t m_notifiedRevision = 0;
    bool m_isStopped = false;
};

} // namespace chicoryspar
