/// @file
/// Node discovery through Contact objects in the store.

#include "node/control/contact_directory.h"

#include "node/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

/// Delay of the second list call; long enough for nodes that start at the same time to have written their contacts.
constexpr Duration kSecondListDelay = std::chrono::milliseconds(1500);
/// Bounds the time until two parts of a cluster that have lost contact find each other again.
constexpr Duration kListInterval = std::chrono::seconds(60);
constexpr Duration kMinBackoff = std::chrono::milliseconds(300);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

std::string contactAddress(const std::string &object)
{
    const auto parsed = parseObject(object);
    const auto *contact = parsed.object ? std::get_if<ContactSpec>(&parsed.object->spec) : nullptr;
    return contact ? contact->address : std::string();
}

} // namespace

ContactDirectory::ContactDirectory(NodeContext &context, MembershipDriver &membership, StoreLink &store, bool isEnabled)
    : m_context(context)
    , m_membership(membership)
    , m_store(store)
    , m_timer(context.io)
    , m_isEnabled(isEnabled)
{
}

void ContactDirectory::start()
{
    if (m_isEnabled && m_store.hasStore()) {
        run();
    }
}

void ContactDirectory::stop()
{
    m_timer.cancel();
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
    }
    // The contacts of other nodes are useful even if the write failed.
    listContacts();
}

void ContactDirectory::listContacts()
{
    std::function<void(std::error_code, std::vector<std::string>)> handler =
        [this](std::error_code ec, const std::vector<std::string> &contacts) { onListed(ec, contacts); };
    m_store.store().listObjects(ObjectKind::Contact,
                                [wrapped = m_store.bindToNodeThread(std::move(handler))](std::error_code ec, const ObjectList &objects) {
                                    std::vector<std::string> addresses;
                                    for (const auto &it : objects.objects) {
                                        addresses.push_back(contactAddress(it));
                                    }
                                    wrapped(ec, std::move(addresses));
                                });
}

void ContactDirectory::onListed(std::error_code ec, const std::vector<std::string> &contacts)
{
    if (ec) {
        scheduleRetry();
        return;
    }
    std::vector<std::string> others;
    for (const auto &it : contacts) {
        if (!it.empty() && it != m_context.peersAddress) {
            others.push_back(it);
        }
    }
    m_membership.setContacts(others);
    if (!m_isWritten) {
        scheduleRetry();
        return;
    }
    m_backoff = Duration{0};
    scheduleRun(m_hasListed ? kListInterval : kSecondListDelay);
    m_hasListed = true;
}

void ContactDirectory::scheduleRetry()
{
    m_backoff = std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
    scheduleRun(m_backoff / 2
                + Duration(static_cast<Duration::rep>(drawUnit(m_context.random) * static_cast<double>(m_backoff.count()) / 2)));
}

} // namespace chicoryspar
