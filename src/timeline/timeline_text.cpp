/// @file
/// Time line as text, and the table of formats.

#include "timeline/event_fields.h"

namespace chicoryspar {
namespace {

constexpr std::array<TimelineFormatRow, static_cast<std::size_t>(TimelineFormat::Count)> kFormats{{
    {"text", renderText},
    {"json", renderJson},
    {"html", renderHtml},
}};

/// Appends @a text with control characters replaced by '?', so that each event takes one line of a terminal.
void appendPrintable(std::string &out, std::string_view text)
{
    for (const char c : text) {
        const bool isControl = static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
        out += isControl ? '?' : c;
    }
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += ' ';
    out += name;
    out += '=';
    appendPrintable(out, value);
}

void appendEvent(std::string &out, const Event &event)
{
    out += toString(wallOf(event.at));
    out += ' ';
    appendPrintable(out, event.node);
    out += ' ';
    out += rowOf(event.kind).name;
    timeline::visitEventFields(event, [&out](std::string_view name, std::string_view value) { appendField(out, name, value); });
    if (!event.text.empty()) {
        out += ": ";
        appendPrintable(out, event.text);
    }
    out += '\n';
}

} // namespace

const TimelineFormatRow &rowOf(TimelineFormat value)
{
    return kFormats.at(static_cast<std::size_t>(value));
}

std::optional<TimelineFormat> findTimelineFormat(std::string_view name)
{
    return findByName<TimelineFormat>(kFormats, name);
}

std::string renderText(const Timeline &timeline)
{
    std::string text;
    for (const auto &it : timeline.events) {
        appendEvent(text, it);
    }
    for (const auto &it : timeline.gaps) {
        text += "gap ";
        appendPrintable(text, it.place);
        text += ": ";
        appendPrintable(text, it.text);
        text += '\n';
    }
    return text;
}

} // namespace chicoryspar
