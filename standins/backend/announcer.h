#pragma once

/// @file
/// Announcements of the stand-in backend server to the node on its host.

#include "standins/backend/settings.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar::standin {

/// Sends an announcement every second, and immediately when a drain begins. Retries every 100 ms until the node accepts one.
class Announcer
{
public:
    Announcer(boost::asio::io_context &io, const BackendInit &init, std::string instance, std::string address);

    /// Announces the state "draining" from now on.
    void beginDrain();
    void start();
    void stop();

private:
    void send();
    std::string makeBody() const;

    BackendInit m_init;
    std::string m_instance;
    std::string m_address;
    HttpClient m_client;
    boost::asio::steady_timer m_timer;
    bool m_isDraining = false;
    bool m_isAnnounced = false;
};

} // namespace chicoryspar::standin
