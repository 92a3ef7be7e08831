/// @file
/// State shared by the parts of a node.

#include "node/context.h"

#include "node/clock.h"

namespace chicoryspar {

NodeContext::NodeContext(boost::asio::io_context &ioContext, const NodeSettings &nodeSettings, const EdgeDialect &edgeDialect,
                         std::uint64_t bootTimeMs, std::uint64_t seed)
    : io(ioContext)
    , settings(nodeSettings)
    , edge(edgeDialect)
    , self(makeNodeId(nodeSettings.name))
    , boot(bootTimeMs)
    , startedAt(steadyNow())
    , random(seed)
    , events(EventBufferOptions{.node = nodeSettings.name, .boot = bootTimeMs, .maxBytes = nodeSettings.maxEventBytes})
{
}

void NodeContext::recordEvent(Event event)
{
    events.record(tick(), std::move(event));
}

void NodeContext::observeClock(std::uint64_t value)
{
    clock.observe(HybridTime{value}, wallNow());
}

bool NodeContext::hasCustomersOrPace() const
{
    return hasSeenPace || config.requiresCustomers();
}

HybridTime NodeContext::tick()
{
    return clock.tick(wallNow());
}

} // namespace chicoryspar
