#pragma once

/// @file
/// JSON objects in chicorysparctl: parsing of files, merging with the stored object, and differences.

#include "ctl/ctl.h"

#include <nlohmann/json.hpp>

namespace chicoryspar::ctl {

using Json = nlohmann::json;

/// Objects parsed from one file.
struct ParsedObjects
{
    std::vector<Json> objects;
    std::vector<Finding> findings;
};

/// Parses a JSON object, an array of objects, an object with an items array, or several of these one after another.
ParsedObjects parseObjectsText(const std::string &text);

/// A field whose value differs between two objects.
struct FieldDifference
{
    std::string path;
    /// Empty when the field is absent.
    std::string before;
    std::string after;
};

/// Returns the fields that differ between two objects, ignoring status, annotations and metadata that the platform maintains.
std::vector<FieldDifference> findDifferences(const Json &before, const Json &after);

void printDifferences(std::ostream &out, const std::vector<FieldDifference> &differences);

/// Returns @a stored overlaid with @a wanted, without the status. Metadata maintained by the platform and fields unknown to this version
/// are kept from @a stored.
Json mergeObjects(const Json &stored, const Json &wanted);

/// Sets the annotations that record who changed the object, when and why.
void addChangeNote(Json &object, const ChangeNote &change);

/// Sets the field at a path such as "spec.methods[0].name". @a value is parsed as JSON, or taken as a string if it isn't JSON.
/// Missing fields on the path are created.
/// @returns a finding when an array element is missing or the path continues through a value that isn't an object
std::optional<Finding> setField(Json &object, const std::string &path, const std::string &value);

std::string versionOf(const Json &object);

/// Returns a text with the version, author, time and reason of the last change.
std::string describeLastChange(const Json &object);

} // namespace chicoryspar::ctl
