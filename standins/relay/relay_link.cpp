#include "standins/relay/relay_link.h"

#include <boost/asio/write.hpp>

namespace chicoryspar::standin {

namespace {

using ErrorCode = boost::system::error_code;

} // namespace

bool RelayShared::isDropping(bool toTarget) const
{
    const auto dropped = toTarget ? RelayMode::DropToTarget : RelayMode::DropFromTarget;
    return command.mode == RelayMode::Silent || command.mode == dropped;
}

RelayLink::RelayLink(boost::asio::io_context &io, std::shared_ptr<RelayShared> shared, Tcp::socket client)
    : m_shared(std::move(shared))
    , m_client(std::move(client))
    , m_target(io)
    , m_toTarget(io)
    , m_fromTarget(io)
{
    ++m_shared->counts.connections;
    ++m_shared->counts.open;
}

RelayLink::~RelayLink()
{
    --m_shared->counts.open;
}

void RelayLink::start(const Tcp::endpoint &target)
{
    m_target.async_connect(target, [self = shared_from_this()](const ErrorCode &ec) {
        if (ec) {
            self->close();
            return;
        }
        ErrorCode ignored;
        self->m_client.set_option(Tcp::no_delay(true), ignored);
        self->m_target.set_option(Tcp::no_delay(true), ignored);
        self->read({self->m_client, self->m_target, self->m_toTarget, true});
        self->read({self->m_target, self->m_client, self->m_fromTarget, false});
    });
}

void RelayLink::limitForwarding(std::size_t bytes)
{
    m_toTarget.remainingBytes = bytes;
    m_fromTarget.remainingBytes = bytes;
}

void RelayLink::close()
{
    m_isClosed = true;
    ErrorCode ignored;
    m_client.close(ignored);
    m_target.close(ignored);
    m_toTarget.timer.cancel();
    m_fromTarget.timer.cancel();
}

bool RelayLink::isClosed() const
{
    return m_isClosed;
}

bool RelayLink::isSilent() const
{
    return m_toTarget.remainingBytes == 0 || m_fromTarget.remainingBytes == 0 || m_shared->isDropping(true) || m_shared->isDropping(false);
}

void RelayLink::read(const Direction &it)
{
    it.from.async_read_some(boost::asio::buffer(it.pipe.buffer),
                            [self = shared_from_this(), it](const ErrorCode &ec, std::size_t n) { self->onRead(ec, n, it); });
}

void RelayLink::onRead(const ErrorCode &ec, std::size_t n, const Direction &it)
{
    if (ec) {
        // In a partitioned network the close of one end doesn't reach the other.
        if (!isSilent()) {
            close();
        }
        return;
    }
    if (m_shared->isDropping(it.toTarget) || it.pipe.remainingBytes == 0) {
        read(it);
        return;
    }
    n = std::min(n, it.pipe.remainingBytes);
    if (it.pipe.remainingBytes != kNoLimit) {
        it.pipe.remainingBytes -= n;
    }
    if (m_shared->command.mode != RelayMode::Delay) {
        write(n, it);
        return;
    }
    it.pipe.timer.expires_after(m_shared->command.delay);
    it.pipe.timer.async_wait([self = shared_from_this(), n, it](const ErrorCode &ec) {
        if (!ec) {
            self->write(n, it);
        }
    });
}

void RelayLink::write(std::size_t n, const Direction &it)
{
    auto &bytes = it.toTarget ? m_shared->counts.bytesToTarget : m_shared->counts.bytesFromTarget;
    bytes += n;
    boost::asio::async_write(it.to, boost::asio::buffer(it.pipe.buffer, n),
                             [self = shared_from_this(), it](const ErrorCode &ec, std::size_t) {
                                 if (!ec) {
                                     self->read(it);
                                 } else if (!self->isSilent()) {
                                     self->close();
                                 }
                             });
}

} // namespace chicoryspar::standin
