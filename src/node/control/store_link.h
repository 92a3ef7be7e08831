#pragma once

/// @file
/// The store as a node's parts use it: handlers come back on the node's thread, and none after the end.

#include <chicoryspar/store.h>

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace chicoryspar {

/// Client of the store for one node.
class StoreLink
{
public:
    /// @param store null when the node has no platform
    StoreLink(boost::asio::io_context &io, std::unique_ptr<ObjectStore> store);
    ~StoreLink();
    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;

    bool hasStore() const;
    ObjectStore &store();

    /// Returns a handler for the store that runs @a handler on the node's thread.
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
    /// Where handlers run, as long as the node lives.
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
