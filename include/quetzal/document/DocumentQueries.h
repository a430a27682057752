#pragma once

#include "include/quetzal/document/Document.h"

namespace quetzal::document {

/** Returns the service of that name, or null. */
const Service*
FindService(const Document& aDocument, const std::string& aName);

/** Returns the pool of that name, or null. */
const Pool*
FindPool(const Document& aDocument, const std::string& aName);

/** Returns the host of that name, or null. */
const Host*
FindHost(const Document& aDocument, const std::string& aName);

/** Returns the hosts of a service's pool, in the document's order. */
std::vector<const Host*>
HostsOf(const Document& aDocument, const Service& aService);

/** Returns the route with the longest matching prefix, or a default route with the service's
 * deadline if no prefix matches. In both cases the result is marked idempotent for every method
 * except POST and PATCH. */
Route
RouteOf(const Service& aService, const std::string& aMethod, const std::string& aPath);

/** Returns the SHA-256 digest of a document's bytes in hexadecimal. */
std::string
DigestOf(const std::string& aYaml);

} // namespace quetzal::document
