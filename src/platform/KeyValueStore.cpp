#include "include/quetzal/platform/KeyValueStore.h"

namespace quetzal::platform {

const char*
ToString(StoreStatus aStatus)
{
  switch (aStatus) {
    case StoreStatus::kSucceeded:
      return "succeeded";
    case StoreStatus::kCompareFailed:
      return "compare-failed";
    case StoreStatus::kUnreachable:
      return "unreachable";
    case StoreStatus::kRefused:
      return "refused";
  }
  return "";
}

Compare
KeyIsAbsent(std::string aKey)
{
  return { std::move(aKey), Compare::Target::kCreateRevision, 0, {} };
}

Compare
KeyIsAtRevision(std::string aKey, std::int64_t aModRevision)
{
  return { std::move(aKey), Compare::Target::kModRevision, aModRevision, {} };
}

Compare
KeyHasValue(std::string aKey, std::string aValue)
{
  return { std::move(aKey), Compare::Target::kValue, 0, std::move(aValue) };
}

Operation
Put(std::string aKey, std::string aValue, std::int64_t aLease)
{
  return { Operation::Kind::kPut, std::move(aKey), std::move(aValue), aLease };
}

Operation
Delete(std::string aKey)
{
  return { Operation::Kind::kDelete, std::move(aKey), {}, 0 };
}

Operation
Read(std::string aKey)
{
  return { Operation::Kind::kRange, std::move(aKey), {}, 0 };
}

} // namespace quetzal::platform
