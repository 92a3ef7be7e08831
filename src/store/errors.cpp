/// @file
/// Tables of store errors and event kinds.

#include <chicoryspar/store.h>

namespace chicoryspar {
namespace {

constexpr std::array<StoreErrorRow, static_cast<std::size_t>(StoreError::Count)> kErrors{{
    {"none", "no error", false},
    {"unreachable", "the store can't be reached", true},
    {"timed-out", "the store didn't answer in time", true},
    {"conflict", "the object was changed by another writer", false},
    {"not-found", "no such object", false},
    {"already-exists", "the object exists already", false},
    {"expired", "the store no longer has events from this version on", false},
    {"invalid", "the store refused the object", false},
    {"unavailable", "the store is unavailable", true},
    {"malformed", "the store's answer isn't valid", true},
    {"throttled", "too many calls to the store", false},
}};

constexpr std::array<StoreEventKindRow, static_cast<std::size_t>(StoreEventKind::Count)> kEventKinds{{
    {"ADDED"},
    {"MODIFIED"},
    {"DELETED"},
    {"BOOKMARK"},
    {"ERROR"},
}};

class StoreCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "platform";
    }
    std::string message(int value) const override
    {
        return std::string(rowOf(static_cast<StoreError>(value)).text);
    }
};

} // namespace

const StoreErrorRow &rowOf(StoreError value)
{
    return kErrors.at(static_cast<std::size_t>(value));
}

const StoreEventKindRow &rowOf(StoreEventKind value)
{
    return kEventKinds.at(static_cast<std::size_t>(value));
}

std::optional<StoreEventKind> findStoreEventKind(std::string_view name)
{
    for (std::size_t n = 0; n < kEventKinds.size(); ++n) {
        if (kEventKinds[n].name == name) {
            return static_cast<StoreEventKind>(n);
        }
    }
    return std::nullopt;
}

const std::error_category &storeCategory()
{
    static const StoreCategory s_category;
    return s_category;
}

std::error_code make_error_code(StoreError value)
{
    return {static_cast<int>(value), storeCategory()};
}

bool isUncertain(std::error_code ec)
{
    return ec.category() == storeCategory() && rowOf(static_cast<StoreError>(ec.value())).isUncertain;
}

} // namespace chicoryspar
