/// @file
/// Time line as an HTML page with a column for each node.

#include "timeline/event_fields.h"

#include <set>

namespace chicoryspar {
namespace {

constexpr std::string_view kHtmlHead = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>chicoryspar time line</title>
<style>
body{font:13px sans-serif;margin:1em}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#eee;text-align:left}
th,td{padding:2px 8px;border-left:1px solid #ccc;vertical-align:top}
td.time{font-family:monospace;white-space:nowrap;border-left:0}
tr:nth-child(even){background:#f7f7f7}
b{font-weight:600}
b.warning{color:#a00}
</style></head><body>
)";

void appendEscaped(std::string &out, std::string_view text)
{
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        case '\'':
            out += "&#39;";
            break;
        default:
            out += c;
        }
    }
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += "<br>";
    out += name;
    out += ' ';
    appendEscaped(out, value);
}

void appendEvent(std::string &out, const Event &event)
{
    const auto &row = rowOf(event.kind);
    out += row.isWarning ? "<b class=\"warning\" title=\"" : "<b title=\"";
    appendEscaped(out, row.text);
    out += "\">";
    out += row.name;
    out += "</b>";
    timeline::visitEventFields(event, [&out](std::string_view name, std::string_view value) { appendField(out, name, value); });
    if (!event.text.empty()) {
        appendField(out, "", event.text);
    }
}

void appendRow(std::string &out, const Event &event, const std::set<std::string> &lanes)
{
    out += "<tr><td class=\"time\">" + toString(wallOf(event.at)) + "</td>";
    for (const auto &it : lanes) {
        out += "<td>";
        if (it == event.node) {
            appendEvent(out, event);
        }
        out += "</td>";
    }
    out += "</tr>\n";
}

} // namespace

std::string renderHtml(const Timeline &timeline)
{
    std::set<std::string> lanes;
    for (const auto &it : timeline.events) {
        lanes.insert(it.node);
    }
    std::string page(kHtmlHead);
    page += "<table>\n<thead><tr><th>UTC</th>";
    for (const auto &it : lanes) {
        page += "<th>";
        appendEscaped(page, it);
        page += "</th>";
    }
    page += "</tr></thead>\n<tbody>\n";
    for (const auto &it : timeline.events) {
        appendRow(page, it, lanes);
    }
    page += "</tbody></table>\n<ul>\n";
    for (const auto &it : timeline.gaps) {
        page += "<li>";
        appendEscaped(page, it.place + ": " + it.text);
        page += "</li>\n";
    }
    page += "</ul></body></html>\n";
    return page;
}

} // namespace chicoryspar
