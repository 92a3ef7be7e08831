#include "standins/backend/announcer.h"

#include <nlohmann/json.hpp>

namespace chicoryspar::standin {

namespace {

constexpr auto kAnnounceInterval = std::chrono::milliseconds(1000);
/// Interval while the last announcement was not accepted.
constexpr auto kRetryInterval = std::chrono::milliseconds(100);
constexpr auto kAnnounceTimeout = std::chrono::milliseconds(900);

} // namespace

Announcer::Announcer(boost::asio::io_context &io, const BackendInit &init, std::string instance, std::string address)
    : m_init(init)
    , m_instance(std::move(instance))
    , m_address(std::move(address))
    , m_client(io)
    , m_timer(io)
{
}

void Announcer::start()
{
    send();
    m_timer.expires_after(m_isAnnounced ? kAnnounceInterval : kRetryInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            start();
        }
    });
}

void Announcer::stop()
{
    m_timer.cancel();
}

void Announcer::beginDrain()
{
    m_isDraining = true;
    send();
}

void Announcer::send()
{
    if (m_init.nodeAddress.empty()) {
        return;
    }
    ExchangeRequest request{
        .method = "POST", .target = "/chicoryspar/announce", .headers = {{"Content-Type", "application/json"}}, .body = makeBody()};
    m_client.begin(m_init.nodeAddress, std::move(request), kAnnounceTimeout, [this](ExchangeEnd end, ExchangeResponse &response) {
        m_isAnnounced = end == ExchangeEnd::Answered && response.status == 200;
    });
}

std::string Announcer::makeBody() const
{
    const nlohmann::json body = {{"service", m_init.service},
                                 {"address", m_address},
                                 {"slots", m_init.slots},
                                 {"connections", m_init.connections},
                                 {"state", m_isDraining ? "draining" : "ready"},
                                 {"instance", m_instance}};
    return body.dump();
}

} // namespace chicoryspar::standin
