/// @file
/// Fields of the messages by which nodes exchange configuration.

#include <chicoryspar/config.h>

#include "wire/pack.h"

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, ObjectVersion &value)
{
    visitor(value.key, value.version, value.contentHash, value.storeEra, value.declaredVersion);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ConfigPull &value)
{
    visitor(value.known, value.maxPartBytes, value.receivedTextHash, value.receivedBytes);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ObjectPart &value)
{
    visitor(value.kind, value.name, value.version, value.textHash, value.textBytes, value.offset, value.bytes);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ConfigPullAnswer &value)
{
    visitor(value.digest, value.objects, value.isPartial, value.storeEra, value.part, value.isContinued);
}

CHICORYSPAR_FRAME_MESSAGE(ConfigPull)
CHICORYSPAR_FRAME_MESSAGE(ConfigPullAnswer)

} // namespace chicoryspar
