#pragma once

/// @file
/// Access to the store from a node's components: handlers run on the node's thread, and none after close().

#include <chicoryspar/store.h>

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

/// Client of the store for one node.
class StoreLink
{
public:
    /// @param store null when the node is configured without a platform
    StoreLink(boost::asio::io_context &io, std::unique_ptr<ObjectStore> store);
    ~StoreLink();
    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;

    bool hasStore() const;
    ObjectStore &store();

    /// Returns a function, callable on any thread, that runs @a handler on the node's thread.
    template<typename... Args>
    std::function<void(Args...)> bindToNodeThread(std::function<void(Args...)> handler)
    {
        return [poster = m_poster, handler = std::move(handler)](Args... args) {
            poster->post([handler, ... args = std::move(args)]() mutable { handler(std::move(args)...); });
        };
    }

    /// Drops every handler that hasn't run yet.
    void close();

private:
    /// Posts functions to the node's thread until it is closed.
    class NodeThreadPoster
    {
    public:
        explicit NodeThreadPoster(boost::asio::io_context &io);
        ~NodeThreadPoster();
        void post(std::function<void()> function);
        void close();

    private:
        struct State;
        std::unique_ptr<State> m_state;
    };

    std::shared_ptr<NodeThreadPoster> m_poster;
    std::unique_ptr<ObjectStore> m_store;
};

} // namespace chicoryspar
