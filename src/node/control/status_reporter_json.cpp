/// @file
/// Writes the status of a service as JSON.

#include "node/control/status_reporter.h"

#include "node/clock.h"
#include "node/gate/gate_service.h"

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::ordered_json;

constexpr Duration kTimerPeriod = std::chrono::seconds(1);

Json describeUpstreams(const Membership &membership, const std::string &service)
{
    std::array<std::uint32_t, static_cast<std::size_t>(BackendReadiness::Count)> counts{};
    for (const auto it : membership.members()) {
        if (it->isPresent() && it->info.service == service) {
            ++counts.at(static_cast<std::size_t>(it->info.readiness));
        }
    }
    Json json = Json::object();
    for (std::size_t n = 0; n < counts.size(); ++n) {
        json[std::string(rowOf(static_cast<BackendReadiness>(n)).name)] = counts.at(n);
    }
    return json;
}

Json describeGate(const GateSnapshot &snapshot)
{
    return {{"limit", snapshot.limit}, {"limitReason", rowOf(snapshot.limitReason).name}, {"refusing", snapshot.level.value > 0}};
}

} // namespace

StatusReporter::StatusReporter(NodeContext &context, ConfigDriver &config, StoreLink &store)
    : m_context(context)
    , m_config(config)
    , m_store(store)
    , m_timer(context.io)
{
}

void StatusReporter::start()
{
    if (m_store.hasStore()) {
        armTimer();
    }
}

void StatusReporter::stop()
{
    m_timer.cancel();
}

void StatusReporter::armTimer()
{
    m_timer.expires_after(kTimerPeriod);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            onTimer(steadyNow());
            armTimer();
        }
    });
}

bool StatusReporter::isReporter(const std::string &service) const
{
    std::vector<NodeId> members;
    for (const auto it : m_context.membership->members()) {
        if (it->isPresent() && it->info.service == service) {
            members.push_back(it->info.id);
        }
    }
    return chooseReporter(std::move(members), service) == m_context.self;
}

void StatusReporter::onTimer(TimePoint now)
{
    const auto service = m_context.gate->announcement().service;
    const auto object = service.empty() || !m_context.membership ? nullptr : m_context.config.find(ObjectKind::Service, service);
    if (!object || m_context.isStopping || !isReporter(service)) {
        return;
    }
    const auto status = describeService(service, *object);
    const auto hash = hashBytes(status);
    if (m_schedule.shouldWrite(now, true, hash)) {
        m_schedule.beginWrite(hash);
        beginWrite(service, status);
    }
}

std::string StatusReporter::describeService(const std::string &service, const ObjectInForce &object)
{
    const auto count = m_config.countInForce({ObjectKind::Service, service}, object.object->version, object.object->contentHash);
    Json refusals = Json::object();
    for (std::size_t c = 0; c < static_cast<std::size_t>(RequestClass::Count); ++c) {
        const auto requestClass = static_cast<RequestClass>(c);
        refusals[std::string(rowOf(requestClass).name)] = m_context.metrics.outcomeCount(requestClass, Outcome::NotRun);
    }
    const Json status{{"reporter", m_context.settings.name},
                      {"generationInForce", object.object->generation},
                      {"nodesInForce", count.inForce},
                      {"nodes", count.members},
                      {"upstreams", describeUpstreams(*m_context.membership, service)},
                      {"reporterGate", describeGate(m_context.gate->snapshot())},
                      {"reporterNotRun", refusals}};
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void StatusReporter::beginWrite(const std::string &service, std::string status)
{
    m_store.store().getObject(ObjectKind::Service, service,
                              m_store.bindToNodeThread(ObjectStore::ObjectHandler(
                                  [this, service, status = std::move(status)](std::error_code ec, const std::string &object) {
                                      if (ec) {
                                          endWrite(ec);
                                          return;
                                      }
                                      replaceStatus(service, object, status);
                                  })));
}

void StatusReporter::replaceStatus(const std::string &service, const std::string &object, const std::string &status)
{
    auto json = Json::parse(object, nullptr, false);
    if (!json.is_object()) {
        endWrite(StoreError::Malformed);
        return;
    }
    json["status"] = Json::parse(status, nullptr, false);
    json["status"]["reportedAt"] = toString(wallNow());
    m_store.store().replaceStatus(
        ObjectKind::Service, service, json.dump(-1, ' ', false, Json::error_handler_t::replace),
        m_store.bindToNodeThread(ObjectStore::ObjectHandler([this](std::error_code ec, const std::string &) { endWrite(ec); })));
}

void StatusReporter::endWrite(std::error_code ec)
{
    m_schedule.endWrite(steadyNow(), !ec);
}

} // namespace chicoryspar
