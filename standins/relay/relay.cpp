#include "standins/relay/relay.h"

#include "standins/relay/relay_link.h"

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <cassert>
#include <map>

namespace chicoryspar::standin {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kDatagramBytes = 65536;
constexpr std::array<std::string_view, static_cast<std::size_t>(RelayMode::Count)> kModeNames = {
    "pass", "silent", "forget", "drop-to-target", "drop-from-target", "stall", "delay", "cut",
};

Tcp::endpoint parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::system_error(std::make_error_code(std::errc::invalid_argument), text);
    }
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

/// UDP socket for the datagrams of one client; replies of the target arrive on it.
struct RelayUdpClient
{
    explicit RelayUdpClient(asio::io_context &io)
        : socket(io)
    {
    }

    Udp::socket socket;
    std::array<char, kDatagramBytes> buffer{};
};

} // namespace

std::optional<RelayMode> findRelayMode(std::string_view name)
{
    const auto it = std::find(kModeNames.begin(), kModeNames.end(), name);
    if (it == kModeNames.end()) {
        return std::nullopt;
    }
    return static_cast<RelayMode>(it - kModeNames.begin());
}

std::string_view nameOf(RelayMode mode)
{
    assert(mode < RelayMode::Count);
    return kModeNames[static_cast<std::size_t>(mode)];
}

struct Relay::State : std::enable_shared_from_this<Relay::State>
{
    State(asio::io_context &io, const Tcp::endpoint &listen, const Tcp::endpoint &target)
        : io(io)
        , acceptor(io, listen)
        , datagrams(io, Udp::endpoint(listen.address(), acceptor.local_endpoint().port()))
        , target(target)
        , targetUdp(target.address(), target.port())
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const ErrorCode &ec, Tcp::socket socket) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                self->links.push_back(std::make_shared<RelayLink>(self->io, self->shared, std::move(socket)));
                self->links.back()->start(self->target);
                self->eraseClosedLinks();
            }
            self->accept();
        });
    }

    void eraseClosedLinks()
    {
        const auto isClosed = [](const std::shared_ptr<RelayLink> &it) { return it->isClosed(); };
        links.erase(std::remove_if(links.begin(), links.end(), isClosed), links.end());
    }

    void receiveFromClients()
    {
        datagrams.async_receive_from(asio::buffer(buffer), from, [self = shared_from_this()](const ErrorCode &ec, std::size_t n) {
            if (ec == asio::error::operation_aborted) {
                return;
            }
            if (!ec && !self->shared->isDropping(true)) {
                self->forward(n);
            }
            self->receiveFromClients();
        });
    }

    void forward(std::size_t n)
    {
        auto &udpClient = udpClients[from];
        if (!udpClient) {
            udpClient = std::make_shared<RelayUdpClient>(io);
            udpClient->socket.open(Udp::v4());
            udpClient->socket.bind(Udp::endpoint(target.address(), 0));
            receiveFromTarget(udpClient, from);
        }
        ++shared->counts.datagrams;
        ErrorCode ignored;
        udpClient->socket.send_to(asio::buffer(buffer, n), targetUdp, 0, ignored);
    }

    void receiveFromTarget(const std::shared_ptr<RelayUdpClient> &udpClient, const Udp::endpoint &client)
    {
        udpClient->socket.async_receive(asio::buffer(udpClient->buffer),
                                        [self = shared_from_this(), udpClient, client](const ErrorCode &ec, std::size_t n) {
                                            if (ec == asio::error::operation_aborted) {
                                                return;
                                            }
                                            if (!ec && !self->shared->isDropping(false)) {
                                                ErrorCode ignored;
                                                self->datagrams.send_to(asio::buffer(udpClient->buffer, n), client, 0, ignored);
                                            }
                                            self->receiveFromTarget(udpClient, client);
                                        });
    }

    asio::io_context &io;
    Tcp::acceptor acceptor;
    Udp::socket datagrams;
    Tcp::endpoint target;
    Udp::endpoint targetUdp;
    std::shared_ptr<RelayShared> shared = std::make_shared<RelayShared>();
    std::vector<std::shared_ptr<RelayLink>> links;
    std::map<Udp::endpoint, std::shared_ptr<RelayUdpClient>> udpClients;
    Udp::endpoint from;
    std::array<char, kDatagramBytes> buffer{};
};

Relay::Relay(asio::io_context &io, const std::string &listen, const std::string &target)
    : m_state(std::make_shared<State>(io, parseAddress(listen), parseAddress(target)))
{
    m_state->accept();
    m_state->receiveFromClients();
}

Relay::~Relay()
{
    ErrorCode ignored;
    m_state->acceptor.close(ignored);
    m_state->datagrams.close(ignored);
    for (const auto &it : m_state->links) {
        it->close();
    }
    for (const auto &[from, udpClient] : m_state->udpClients) {
        udpClient->socket.close(ignored);
    }
}

std::uint16_t Relay::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

void Relay::setCommand(const RelayCommand &command)
{
    m_state->shared->command = command;
    m_state->eraseClosedLinks();
    for (const auto &it : m_state->links) {
        if (command.mode == RelayMode::Forget) {
            it->limitForwarding(0);
        } else if (command.mode == RelayMode::Stall) {
            it->limitForwarding(command.stallAfter);
        } else if (command.mode == RelayMode::Cut) {
            it->close();
        }
    }
}

RelayCommand Relay::command() const
{
    return m_state->shared->command;
}

RelayCounts Relay::counts() const
{
    return m_state->shared->counts;
}

} // namespace chicoryspar::standin
