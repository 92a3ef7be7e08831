#pragma once

/// @file
/// Node discovery through the store: each node writes its address as a Contact object and passes the addresses of the
/// others to its membership.

#include "membership/contact_sweep.h"
#include "node/control/store_link.h"
#include "node/peers/membership_driver.h"

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

/// Writes this node's Contact and lists the others. Whether a node is alive is up to the membership: a Contact may be outdated.
class ContactDirectory
{
public:
    /// @param isEnabled whether nodes discover each other through the store
    ContactDirectory(NodeContext &context, MembershipDriver &membership, StoreLink &store, bool isEnabled);

    void start();
    void stop();

private:
    void scheduleRun(Duration delay);
    void run();
    void writeOwnContact();
    void onWritten(std::error_code ec);
    void listContacts();
    void onListed(std::error_code ec, const std::vector<ListedContact> &contacts);
    /// Removes contacts of hosts that are gone.
    void sweep(const std::vector<ListedContact> &contacts);
    /// Lists the contacts soon after the store returned from an older copy, which may lack this node's contact.
    void onStoreRestored();
    /// Returns whether the list should contain this node's contact but doesn't: another node may have taken this host for gone, or the
    /// store lost it.
    bool isOwnContactMissing(TimePoint now, const std::vector<ListedContact> &contacts) const;
    Duration listInterval() const;
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
    /// Whether the store returned from an older copy since the last list.
    bool m_isStoreRestored = false;
    TimePoint m_writtenAt{};
    ContactSweep m_sweep;
};

} // namespace chicoryspar
