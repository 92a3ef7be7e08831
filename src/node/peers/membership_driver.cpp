/// @file
/// Membership datagrams over UDP.

#include "node/peers/membership_driver.h"

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "node/http/endpoint.h"
#include "node/log.h"
#include "node/peers/signature.h"

namespace chicoryspar {

namespace asio = boost::asio;
using boost::asio::ip::udp;

namespace {

/// Probability of contacting another region. Failures are detected within the region first; few messages are enough to
/// spread an update to the other regions.
constexpr double kCrossRegionProbability = 0.25;
constexpr std::size_t kReceiveBufferBytes = 2 * kMaxMessageBytes;
/// First byte of a payload that isn't a membership message. No msgpack value begins with it, so membership messages need no mark.
constexpr char kPayloadMark = '\xC1';
/// Minimum interval between events about clocks that are too far ahead.
constexpr Duration kSkewEventInterval = std::chrono::minutes(1);

/// Event to record for each MemberChangeKind.
constexpr std::array<EventKind, static_cast<std::size_t>(MemberChangeKind::Count)> kChangeEvents{
    EventKind::MemberJoined,   EventKind::MemberSuspect,  EventKind::MemberReturned, EventKind::MemberDead,   EventKind::MemberLeft,
    EventKind::MemberReturned, EventKind::MemberReturned, EventKind::MemberChanged,  EventKind::NameConflict,
};

std::optional<udp::endpoint> parseUdpEndpoint(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        return std::nullopt;
    }
    return udp::endpoint(endpoint->address(), endpoint->port());
}

std::string toText(const udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

MembershipDriver::MembershipDriver(NodeContext &context)
    : m_context(context)
    , m_socket(context.io)
    , m_timer(context.io)
    , m_buf(kReceiveBufferBytes)
{
    context.backendChanged.connect([this](TimePoint now) { announceBackend(now); });
}

std::error_code MembershipDriver::start(std::uint16_t port)
{
    auto endpoint = parseUdpEndpoint(m_context.settings.listenPeers);
    if (!endpoint) {
        return std::make_error_code(std::errc::invalid_argument);
    }
    endpoint->port(port);
    boost::system::error_code ec;
    m_socket.open(endpoint->protocol(), ec);
    if (!ec) {
        m_socket.bind(*endpoint, ec);
    }
    if (!ec) {
        // When the send buffer is full, the datagram is dropped instead of blocking the thread.
        m_socket.non_blocking(true, ec);
    }
    if (ec) {
        return ec;
    }
    MemberInfo self;
    self.id = m_context.self;
    self.name = m_context.settings.name;
    self.region = m_context.settings.region;
    self.zone = m_context.settings.zone;
    self.address = m_context.peersAddress;
    self.operators = m_context.operatorsAddress;
    self.boot = m_context.boot;
    const auto now = steadyNow();
    m_membership = std::make_unique<Membership>(
        MembershipOptions{.self = self, .contacts = m_context.settings.seeds, .crossRegionProbability = kCrossRegionProbability}, now,
        m_context.random);
    m_context.membership = m_membership.get();
    receive();
    armTimer();
    return {};
}

void MembershipDriver::setContacts(std::vector<std::string> contacts)
{
    const bool isChanged = !m_areContactsKnown || contacts != m_contacts;
    m_areContactsKnown = true;
    m_contacts = contacts;
    contacts.insert(contacts.end(), m_context.settings.seeds.begin(), m_context.settings.seeds.end());
    m_membership->setContacts(std::move(contacts));
    if (isChanged) {
        m_context.membersChanged.emitChange(steadyNow());
    }
}

void MembershipDriver::awaitContacts()
{
    m_areContactsKnown = false;
}

bool MembershipDriver::areContactsKnown() const
{
    return m_areContactsKnown;
}

const std::vector<std::string> &MembershipDriver::contacts() const
{
    return m_contacts;
}

void MembershipDriver::setConfigDigest(std::uint64_t digest, std::string payload)
{
    std::vector<OutgoingMessage> out;
    m_membership->setConfigDigest(steadyNow(), m_context.random, digest, std::move(payload), out);
    sendMessages(out);
}

void MembershipDriver::setConfigPayloadHandler(ConfigPayloadHandler handler)
{
    m_configPayloadHandler = std::move(handler);
}

void MembershipDriver::setPayloadHandler(PayloadHandler handler)
{
    m_payloadHandler = std::move(handler);
}

void MembershipDriver::sendPayload(NodeId node, std::string_view payload)
{
    if (const auto *member = m_membership ? m_membership->find(node) : nullptr) {
        sendDatagram(member->info.address, kPayloadMark + std::string(payload));
    }
}

void MembershipDriver::sendOwnRecord(NodeId node)
{
    std::vector<OutgoingMessage> out;
    m_membership->sendOwnRecord(steadyNow(), node, out);
    sendMessages(out);
}

void MembershipDriver::requestConfigDigest(NodeId node)
{
    std::vector<OutgoingMessage> out;
    m_membership->requestConfigDigest(steadyNow(), node, out);
    sendMessages(out);
}

void MembershipDriver::announceBackend(TimePoint now)
{
    if (!m_membership) {
        return;
    }
    const auto &announcement = m_context.gate->announcement();
    std::vector<OutgoingMessage> out;
    m_membership->announceSelf(now, m_context.random, announcement.service, announcement.slots, m_context.gate->readiness(), out);
    sendMessages(out);
    recordChanges(now);
}

void MembershipDriver::beginLeave()
{
    std::vector<OutgoingMessage> out;
    const auto now = steadyNow();
    m_membership->leave(now, m_context.random, out);
    sendMessages(out);
    recordChanges(now);
}

void MembershipDriver::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
}

void MembershipDriver::armTimer()
{
    m_timer.expires_after(kTickPeriod);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec || m_isStopped) {
            return;
        }
        const auto now = steadyNow();
        std::vector<OutgoingMessage> out;
        m_membership->onTick(now, m_context.random, out);
        sendMessages(out);
        recordChanges(now);
        armTimer();
    });
}

void MembershipDriver::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buf), m_sender, [this](boost::system::error_code ec, std::size_t n) {
        if (m_isStopped || ec == asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            handleDatagram({m_buf.data(), n});
        }
        receive();
    });
}

void MembershipDriver::handleDatagram(std::string_view datagram)
{
    ++m_counters.received;
    m_counters.receivedBytes += datagram.size();
    const auto signatureBytes = m_context.settings.fleetKey.empty() ? 0 : kSignatureBytes;
    if (datagram.size() < signatureBytes) {
        ++m_counters.rejected;
        return;
    }
    const auto payload = datagram.substr(signatureBytes);
    const bool isSigned = equalSignatures(datagram.substr(0, signatureBytes), sign(payload));
    if (isSigned && m_payloadHandler && payload.starts_with(kPayloadMark)) {
        m_payloadHandler(steadyNow(), payload.substr(1));
        return;
    }
    const auto message = isSigned ? decodePayload<MembershipMessage>(payload) : std::nullopt;
    if (!message) {
        ++m_counters.rejected;
        return;
    }
    const auto now = steadyNow();
    observeClock(now, *message);
    std::vector<OutgoingMessage> out;
    m_membership->onMessage(now, m_context.random, toText(m_sender), *message, out);
    sendMessages(out);
    recordChanges(now);
    if (m_configPayloadHandler) {
        m_configPayloadHandler(now, message->from, message->configDigest, message->configPayload);
    }
}

void MembershipDriver::observeClock(TimePoint now, const MembershipMessage &message)
{
    if (m_context.clock.observe(HybridTime{message.clock}, wallNow()) || now < m_nextSkewEventAt) {
        return;
    }
    m_nextSkewEventAt = now + kSkewEventInterval;
    const auto *member = m_membership->find(message.from);
    m_context.recordEvent(Event{.kind = EventKind::ClockSkew, .subject = member != nullptr ? member->info.name : toText(m_sender)});
}

void MembershipDriver::sendMessages(std::vector<OutgoingMessage> &out)
{
    for (auto &it : out) {
        sendMessage(it);
    }
}

void MembershipDriver::sendMessage(OutgoingMessage &outgoing)
{
    outgoing.message.clock = m_context.tick().value;
    sendDatagram(outgoing.to, encodePayload(outgoing.message));
}

void MembershipDriver::sendDatagram(const std::string &to, std::string_view payload)
{
    const auto endpoint = parseUdpEndpoint(to);
    if (!endpoint || m_isStopped) {
        return;
    }
    const auto datagram = sign(payload).append(payload);
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(datagram), *endpoint, 0, ec);
    if (!ec) {
        ++m_counters.sent;
        m_counters.sentBytes += datagram.size();
    }
}

std::string MembershipDriver::sign(std::string_view payload) const
{
    return m_context.settings.fleetKey.empty() ? std::string() : signBytes(m_context.settings.fleetKey, payload);
}

void MembershipDriver::recordChanges(TimePoint now)
{
    const auto changes = m_membership->takeChanges();
    for (const auto &it : changes) {
        const auto kind = kChangeEvents.at(static_cast<std::size_t>(it.kind));
        m_context.recordEvent(Event{.kind = kind,
                                    .service = it.member.info.service,
                                    .subject = it.member.info.name,
                                    .text = std::string(rowOf(it.member.info.readiness).name)});
        writeLog(LogLevel::Info, rowOf(kind).text,
                 {{"member", it.member.info.name}, {"readiness", std::string(rowOf(it.member.info.readiness).name)}});
    }
    if (m_membership->revision() != m_notifiedRevision) {
        m_notifiedRevision = m_membership->revision();
        m_context.membersChanged.emitChange(now);
    }
}

const DatagramCounters &MembershipDriver::datagrams() const
{
    return m_counters;
}

const Membership &MembershipDriver::membership() const
{
    return *m_membership;
}

} // namespace chicoryspar
