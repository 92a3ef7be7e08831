/// @file
/// Node discovery through Contact objects in the store.

#include "node/control/contact_directory.h"

#include "node/clock.h"
#include "node/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

/// Delay of the second list call; long enough for nodes that start at the same time to have written their contacts.
constexpr Duration kSecondListDelay = std::chrono::milliseconds(1500);
/// Mean time between two lists by any node, and the shortest time between two lists by one node. They bound the time until two parts of a
/// cluster that have lost contact find each other again, and the rate of lists whatever the number of nodes.
constexpr Duration kFleetListInterval = std::chrono::seconds(2);
constexpr Duration kMinListInterval = std::chrono::seconds(60);
/// A list may be some seconds old, so a contact written less than this ago may be missing from it.
constexpr Duration kMaxListAge = std::chrono::seconds(30);
/// Window over which nodes spread their lists after the store returned from an older copy.
constexpr Duration kRestoreListWindow = std::chrono::seconds(10);
constexpr Duration kMinBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

ListedContact readContact(const std::string &object, std::uint64_t storeEra)
{
    const auto parsed = parseObject(object, storeEra);
    const auto *contact = parsed.object ? std::get_if<ContactSpec>(&parsed.object->spec) : nullptr;
    return {
        .name = parsed.name, .address = contact ? contact->address : std::string(), .version = parsed.version, .storeEra = parsed.storeEra};
}

} // namespace

ContactDirectory::ContactDirectory(NodeContext &context, MembershipDriver &membership, StoreLink &store, bool isEnabled)
    : m_context(context)
    , m_membership(membership)
    , m_store(store)
    , m_timer(context.io)
    , m_isEnabled(isEnabled)
    , m_sweep(ContactSweepOptions{.self = context.self})
{
}

void ContactDirectory::start()
{
    if (m_isEnabled && m_store.hasStore()) {
        m_membership.awaitContacts();
        m_context.storeRestored.connect([this](TimePoint) { onStoreRestored(); });
        run();
    }
}

void ContactDirectory::stop()
{
    m_timer.cancel();
}

void ContactDirectory::onStoreRestored()
{
    m_isStoreRestored = true;
    scheduleRun(Duration(static_cast<Duration::rep>(drawUnit(m_context.random) * static_cast<double>(kRestoreListWindow.count()))));
}

void ContactDirectory::scheduleRun(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec && !m_context.isStopping) {
            run();
        }
    });
}

void ContactDirectory::run()
{
    if (m_isWritten) {
        listContacts();
    } else {
        writeOwnContact();
    }
}

std::string ContactDirectory::makeOwnContact() const
{
    const nlohmann::json json{{"apiVersion", kApiVersion},
                              {"kind", rowOf(ObjectKind::Contact).name},
                              {"metadata", {{"name", m_context.settings.name}}},
                              {"spec", {{"address", m_context.peersAddress}}}};
    return json.dump();
}

void ContactDirectory::writeOwnContact()
{
    std::function<void(std::error_code, std::string)> handler = [this](std::error_code ec, const std::string &) {
        if (ec != StoreError::AlreadyExists && ec != StoreError::Conflict) {
            onWritten(ec);
            return;
        }
        std::function<void(std::error_code, std::string)> replaced = [this](std::error_code it, const std::string &) { onWritten(it); };
        m_store.store().replaceObject(ObjectKind::Contact, m_context.settings.name, makeOwnContact(),
                                      m_store.bindToNodeThread(std::move(replaced)));
    };
    m_store.store().createObject(ObjectKind::Contact, makeOwnContact(), m_store.bindToNodeThread(std::move(handler)));
}

void ContactDirectory::onWritten(std::error_code ec)
{
    if (ec) {
        writeLog(LogLevel::Warning, "can't write this node's contact to the store", {{"error", ec.message()}});
    } else {
        m_isWritten = true;
        m_writtenAt = steadyNow();
    }
    // The contacts of other nodes are useful even if the write failed.
    listContacts();
}

void ContactDirectory::listContacts()
{
    std::function<void(std::error_code, std::vector<ListedContact>)> handler =
        [this](std::error_code ec, const std::vector<ListedContact> &contacts) { onListed(ec, contacts); };
    m_store.store().listObjects(ObjectKind::Contact,
                                [wrapped = m_store.bindToNodeThread(std::move(handler))](std::error_code ec, const ObjectList &objects) {
                                    std::vector<ListedContact> contacts;
                                    for (const auto &it : objects.objects) {
                                        contacts.push_back(readContact(it, objects.era));
                                    }
                                    wrapped(ec, std::move(contacts));
                                });
}

void ContactDirectory::onListed(std::error_code ec, const std::vector<ListedContact> &contacts)
{
    if (ec) {
        scheduleRetry();
        return;
    }
    std::vector<std::string> others;
    for (const auto &it : contacts) {
        if (!it.address.empty() && it.address != m_context.peersAddress) {
            others.push_back(it.address);
        }
    }
    m_membership.setContacts(others);
    sweep(contacts);
    if (isOwnContactMissing(steadyNow(), contacts)) {
        writeLog(LogLevel::Warning, "this node's contact is missing from the store, writing it again");
        m_isWritten = false;
    }
    m_isStoreRestored = false;
    const bool isAlone = m_membership.membership().presentCount() <= 1;
    if (!m_isWritten || (m_hasListed && isAlone)) {
        // A list may be older than the contacts of nodes that started with this one.
        scheduleRetry();
        return;
    }
    m_backoff = Duration{0};
    scheduleRun(m_hasListed ? listInterval() : kSecondListDelay);
    m_hasListed = true;
}

Duration ContactDirectory::listInterval() const
{
    const auto nodes = static_cast<Duration::rep>(m_membership.membership().presentCount());
    return std::max(kMinListInterval, kFleetListInterval * nodes);
}

bool ContactDirectory::isOwnContactMissing(TimePoint now, const std::vector<ListedContact> &contacts) const
{
    const bool mayListShow = m_isStoreRestored || now - m_writtenAt >= kMaxListAge;
    return m_isWritten && mayListShow && !containsContact(contacts, m_context.settings.name, m_context.peersAddress);
}

void ContactDirectory::sweep(const std::vector<ListedContact> &contacts)
{
    std::vector<const Member *> present;
    for (const auto *it : m_membership.membership().members()) {
        if (it->isPresent()) {
            present.push_back(it);
        }
    }
    for (const auto &it : m_sweep.onListed(steadyNow(), contacts, present)) {
        writeLog(LogLevel::Info, "removing the contact of a host that is gone", {{"contact", it.name}, {"address", it.address}});
        // A removal that fails is due again after the next list.
        std::function<void(std::error_code, std::string)> handler = [](std::error_code, const std::string &) {};
        m_store.store().removeObject(ObjectKind::Contact, it.name, it.version, m_store.bindToNodeThread(std::move(handler)));
    }
}

void ContactDirectory::scheduleRetry()
{
    m_backoff = std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
    scheduleRun(m_backoff / 2
                + Duration(static_cast<Duration::rep>(drawUnit(m_context.random) * static_cast<double>(m_backoff.count()) / 2)));
}

} // namespace chicoryspar
