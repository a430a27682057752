#pragma once

#include "include/quetzal/entry/Dispatcher.h"

namespace quetzal::entry {

/** A service request, or the reason for which the caller's request is refused. */
struct ServiceRequestResult
{
  outcome::Reason refusal_ = outcome::Reason::kNone;
  ServiceRequest request_;
};

/** Builds the service request from a caller's request to /v1/services/<service>/<path>.
 * @param aDocument the document in force, or null if there is none yet. */
ServiceRequestResult
MakeServiceRequest(std::uint64_t aId,
                   const http::Request& aRequest,
                   const document::Document* aDocument,
                   clock::Moment aNow);

} // namespace quetzal::entry
