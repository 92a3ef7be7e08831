#pragma once

/// @file
/// Nodes find each other: each enters its address as a Contact in the store, and takes the others' as first contacts of its membership.

#include "node/control/store_link.h"
#include "node/peers/membership_driver.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// The own entry and the list of the others. Liveness is the membership's matter: an entry only says where a node was.
class ContactDirectory
{
public:
    /// @param isEnabled whether nodes find each other through the store
    ContactDirectory(NodeContext &context, MembershipDriver &membership, StoreLink &store, bool isEnabled);

    void start();
    void stop();

private:
    void scheduleRun(Duration delay);
    void run();
    void writeOwnContact();
    void onWritten(std::error_code ec);
    void listContacts();
    void onListed(std::error_code ec, const std::vector<std::string> &contacts);
    std::string makeOwnContact() const;
    void scheduleRetry();

    NodeContext &m_context;
    MembershipDriver &m_membership;
    StoreLink &m_store;
    boost::asio::steady_timer m_timer;
    Duration m_backoff{0};
    bool m_isEnabled;
    bool m_isWritten = false;
    bool m_hasListed = false;
};

} // namespace chicoryspar
