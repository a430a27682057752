#include "review/standin-2/Tasks.h"

#include <cstdlib>

namespace review {

using quetzal::adapter::Body;
using quetzal::adapter::Value;

void
JobBook::Add(const std::string& aId, const std::string& aBody)
{
  const auto body = Body::Decode(aBody);
  if (!body) {
    return;
  }
  std::vector<StepModel> steps;
  for (const Value& step : body->Root()["steps"].Items()) {
    StepModel model;
    model.count_ = step["count"].Int(1);
    model.cpu_ = step["cpu"].Integer();
    model.memory_ = step["mem-mb"].Integer();
    model.workMs_ = step["estimate-ms"].Integer();
    model.gang_ = step["gang"].Bool();
    model.checkpointing_ = step["checkpointing"].Bool();
    steps.push_back(model);
  }
  jobs_[aId] = steps;
}

const StepModel*
JobBook::StepOf(const std::string& aTask) const
{
  const std::string step = StepNameOf(aTask);
  const auto job = jobs_.find(aTask.substr(0, aTask.find('.')));
  const auto index = static_cast<std::size_t>(std::atoi(step.substr(step.rfind('.') + 1).c_str()));
  return job == jobs_.end() || index >= job->second.size() ? nullptr : &job->second[index];
}

std::string
StepNameOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

std::string
CheckpointFor(std::int64_t aWorkMs)
{
  return "work-" + std::to_string(aWorkMs);
}

std::int64_t
WorkOf(const std::string& aCheckpoint)
{
  const std::size_t dash = aCheckpoint.find('-');
  return dash == std::string::npos ? 0 : std::atoll(aCheckpoint.substr(dash + 1).c_str());
}

} // namespace review
