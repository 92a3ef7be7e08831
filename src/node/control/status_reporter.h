#pragma once

/// @file
/// Writes the status of the backend server's service to the store if this node is the reporter of the service.

#include "config/status_schedule.h"
#include "node/context.h"
#include "node/control/config_driver.h"
#include "node/control/store_link.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Status reporter of one service. While member lists differ, two nodes may both act as the reporter; conditional writes keep
/// one from overwriting the other's unseen write.
class StatusReporter
{
public:
    StatusReporter(NodeContext &context, ConfigDriver &config, StoreLink &store);

    /// Starts the timer; does nothing without a store.
    void start();
    void stop();

private:
    void armTimer();
    void onTimer(TimePoint now);
    bool isReporter(const std::string &service) const;
    std::string describeService(const std::string &service, const ObjectInForce &object);
    void beginWrite(const std::string &service, std::string status);
    void replaceStatus(const std::string &service, const std::string &object, const std::string &status);
    void endWrite(std::error_code ec);

    NodeContext &m_context;
    ConfigDriver &m_config;
    StoreLink &m_store;
    StatusSchedule m_schedule;
    boost::asio::steady_timer m_timer;
};

} // namespace chicoryspar
