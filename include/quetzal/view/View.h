#pragma once

#include "include/quetzal/document/Document.h"

#include <cstdint>
#include <string>

/** The configuration in force, as known to one process. */
namespace quetzal::view {

/** A valid document with the store's revision at which it came into force. */
struct View
{
  std::int64_t revision_ = 0;
  std::string digest_;
  document::DocumentPtr document_;
};

/** Returns whether an offered revision replaces the current one. A view is never replaced by an
 * older one. */
bool
IsNewer(std::int64_t aOffered, std::int64_t aCurrent);

/** Returns the key of an environment's document in the store. */
std::string
DocumentKey(const std::string& aEnvironment);

/** Builds a view from the document's bytes. @throws settings::SettingsError. */
View
MakeView(std::int64_t aRevision, const std::string& aYaml);

} // namespace quetzal::view
