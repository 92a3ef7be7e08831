/// @file
/// Access to the store from a node's components.

#include "node/control/store_link.h"

#include <cassert>
#include <mutex>

#include <boost/asio/post.hpp>

namespace chicoryspar {

struct StoreLink::NodeThreadPoster::State
{
    std::mutex mutex;
    /// Null after close().
    boost::asio::io_context *io = nullptr;
    /// Shared with the posted functions, which check it on the node's thread, also after close().
    std::shared_ptr<bool> isOpen = std::make_shared<bool>(true);
};

StoreLink::NodeThreadPoster::NodeThreadPoster(boost::asio::io_context &io)
    : m_state(std::make_unique<State>())
{
    m_state->io = &io;
}

StoreLink::NodeThreadPoster::~NodeThreadPoster() = default;

void StoreLink::NodeThreadPoster::post(std::function<void()> function)
{
    const std::lock_guard lock(m_state->mutex);
    if (!m_state->io) {
        return;
    }
    boost::asio::post(*m_state->io, [isOpen = m_state->isOpen, function = std::move(function)] {
        if (*isOpen) {
            function();
        }
    });
}

void StoreLink::NodeThreadPoster::close()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->io = nullptr;
    *m_state->isOpen = false;
}

StoreLink::StoreLink(boost::asio::io_context &io, std::unique_ptr<ObjectStore> store)
    : m_poster(std::make_shared<NodeThreadPoster>(io))
    , m_store(std::move(store))
{
}

StoreLink::~StoreLink()
{
    close();
}

bool StoreLink::hasStore() const
{
    return m_store != nullptr;
}

ObjectStore &StoreLink::store()
{
    assert(m_store);
    return *m_store;
}

void StoreLink::close()
{
    m_poster->close();
}

} // namespace chicoryspar
