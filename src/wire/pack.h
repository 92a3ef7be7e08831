#pragma once

/// @file
/// Packs and unpacks messages field by field with msgpack. Each message type defines a function visitFields(visitor, message), which
/// calls the visitor once with all fields in order, or without arguments if the message has none.

#include <chicoryspar/wire.h>

#include <memory>
#include <type_traits>
#include <variant>

#include <msgpack.hpp>

namespace chicoryspar::wire {

/// Thrown when a payload doesn't match its message; decodePayload() catches it.
struct PayloadMismatch
{
};

template<typename Type>
struct IsVector : std::false_type
{
};
template<typename Item>
struct IsVector<std::vector<Item>> : std::true_type
{
};

template<typename Type>
struct IsOptional : std::false_type
{
};
template<typename Item>
struct IsOptional<std::optional<Item>> : std::true_type
{
};
template<typename Item>
struct IsOptional<std::shared_ptr<const Item>> : std::true_type
{
};

template<typename Type>
struct IsVariant : std::false_type
{
};
template<typename... Items>
struct IsVariant<std::variant<Items...>> : std::true_type
{
};

/// Writes fields as one msgpack array.
class Packer
{
public:
    explicit Packer(msgpack::sbuffer &buf)
        : m_packer(buf)
    {
    }

    template<typename... Fields>
    void operator()(const Fields &...fields)
    {
        m_packer.pack_array(sizeof...(fields));
        (packValue(fields), ...);
    }

private:
    template<typename Type>
    void packValue(const Type &value)
    {
        if constexpr (std::is_enum_v<Type>) {
            m_packer.pack(static_cast<std::uint64_t>(value));
        } else if constexpr (std::is_arithmetic_v<Type> || std::is_same_v<Type, std::string>) {
            m_packer.pack(value);
        } else if constexpr (std::is_same_v<Type, Duration>) {
            m_packer.pack(static_cast<std::int64_t>(value.count()));
        } else if constexpr (std::is_same_v<Type, WallTime>) {
            m_packer.pack(static_cast<std::int64_t>(value.time_since_epoch().count()));
        } else if constexpr (IsVector<Type>::value) {
            m_packer.pack_array(static_cast<std::uint32_t>(value.size()));
            for (const auto &it : value) {
                packValue(it);
            }
        } else if constexpr (IsOptional<Type>::value) {
            m_packer.pack_array(value ? 1 : 0);
            if (value) {
                packValue(*value);
            }
        } else if constexpr (IsVariant<Type>::value) {
            m_packer.pack_array(2);
            m_packer.pack(static_cast<std::uint64_t>(value.index()));
            std::visit([this](const auto &it) { packValue(it); }, value);
        } else {
            visitFields(*this, const_cast<Type &>(value));
        }
    }

    msgpack::packer<msgpack::sbuffer> m_packer;
};

/// Reads fields from one msgpack array.
class Unpacker
{
public:
    explicit Unpacker(const msgpack::object &object)
        : m_object(object)
    {
    }

    template<typename... Fields>
    void operator()(Fields &...fields)
    {
        if (m_object.type != msgpack::type::ARRAY) {
            throw PayloadMismatch{};
        }
        [[maybe_unused]] std::uint32_t n = 0;
        (unpackNext(n, fields), ...);
    }

private:
    template<typename Type>
    void unpackNext(std::uint32_t &n, Type &value)
    {
        if (n < m_object.via.array.size) {
            unpackValue(m_object.via.array.ptr[n], value);
        }
        ++n;
    }

    template<typename Type>
    static void unpackValue(const msgpack::object &object, Type &value)
    {
        if constexpr (std::is_enum_v<Type>) {
            const auto number = object.as<std::uint64_t>();
            if (number >= static_cast<std::uint64_t>(Type::Count)) {
                throw PayloadMismatch{};
            }
            value = static_cast<Type>(number);
        } else if constexpr (std::is_arithmetic_v<Type> || std::is_same_v<Type, std::string>) {
            object.convert(value);
        } else if constexpr (std::is_same_v<Type, Duration>) {
            value = Duration(object.as<std::int64_t>());
        } else if constexpr (std::is_same_v<Type, WallTime>) {
            value = WallTime(Duration(object.as<std::int64_t>()));
        } else if constexpr (IsVector<Type>::value) {
            unpackVector(object, value);
        } else if constexpr (IsOptional<Type>::value) {
            unpackOptional(object, value);
        } else if constexpr (IsVariant<Type>::value) {
            unpackVariant(object, value);
        } else {
            Unpacker unpacker(object);
            visitFields(unpacker, value);
        }
    }

    template<typename Item>
    static void unpackVector(const msgpack::object &object, std::vector<Item> &values)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw PayloadMismatch{};
        }
        values.clear();
        values.reserve(object.via.array.size);
        for (std::uint32_t n = 0; n < object.via.array.size; ++n) {
            values.emplace_back();
            unpackValue(object.via.array.ptr[n], values.back());
        }
    }

    template<typename Item>
    static void unpackOptional(const msgpack::object &object, std::optional<Item> &value)
    {
        value.reset();
        if (object.type != msgpack::type::ARRAY) {
            throw PayloadMismatch{};
        }
        if (object.via.array.size > 0) {
            unpackValue(object.via.array.ptr[0], value.emplace());
        }
    }

    template<typename Item>
    static void unpackOptional(const msgpack::object &object, std::shared_ptr<const Item> &value)
    {
        std::optional<Item> item;
        unpackOptional(object, item);
        value = item ? std::make_shared<const Item>(std::move(*item)) : nullptr;
    }

    template<typename... Items>
    static void unpackVariant(const msgpack::object &object, std::variant<Items...> &value)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
            throw PayloadMismatch{};
        }
        const auto index = object.via.array.ptr[0].as<std::uint64_t>();
        std::uint64_t n = 0;
        const bool isValidIndex = ((n++ == index && (unpackValue(object.via.array.ptr[1], value.template emplace<Items>()), true)) || ...);
        if (!isValidIndex) {
            throw PayloadMismatch{};
        }
    }

    const msgpack::object &m_object;
};

template<typename Message>
void packMessage(msgpack::sbuffer &buf, const Message &message)
{
    Packer packer(buf);
    visitFields(packer, const_cast<Message &>(message));
}

void appendFrame(std::string &frame, FrameType type, std::string_view payload);
msgpack::object_handle parsePayload(std::string_view payload);

} // namespace chicoryspar::wire

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, NodeId &value)
{
    visitor(value.value);
}

template<typename Visitor>
void visitFields(Visitor &visitor, RequestId &value)
{
    visitor(value.high, value.low);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CallContext &value)
{
    visitor(value.root, value.requestClass, value.importance, value.depth, value.retryTokens, value.remaining, value.ranksAsRoot,
            value.isRepeat, value.descendsFromRepeat);
}

template<typename Visitor>
void visitFields(Visitor &visitor, HeaderField &value)
{
    visitor(value.name, value.value);
}

template<typename Message>
std::string encodePayload(const Message &message)
{
    msgpack::sbuffer buf;
    wire::packMessage(buf, message);
    return {buf.data(), buf.size()};
}

template<typename Message>
std::string encodeFrame(const Message &message)
{
    msgpack::sbuffer buf;
    wire::packMessage(buf, message);
    std::string frame;
    wire::appendFrame(frame, FrameTypeOf<Message>::kValue, {buf.data(), buf.size()});
    return frame;
}

template<typename Message>
std::optional<Message> decodePayload(std::string_view payload)
{
    try {
        const auto handle = wire::parsePayload(payload);
        Message message;
        wire::Unpacker unpacker(handle.get());
        visitFields(unpacker, message);
        return message;
    } catch (const wire::PayloadMismatch &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    }
}

} // namespace chicoryspar

/// Instantiates the codec of a message that has a frame of its own.
#define CHICORYSPAR_FRAME_MESSAGE(Message)                                                                                                 \
    template std::string encodeFrame<Message>(const Message &);                                                                            \
    CHICORYSPAR_PAYLOAD_MESSAGE(Message)

/// Instantiates the codec of a message that travels in datagrams or inside another message only.
#define CHICORYSPAR_PAYLOAD_MESSAGE(Message)                                                                                               \
    template std::string encodePayload<Message>(const Message &);                                                                          \
    template std::optional<Message> decodePayload<Message>(std::string_view);
