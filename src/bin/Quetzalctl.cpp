/** quetzalctl: command-line tool for operators. */

#include "include/quetzal/document/DocumentQueries.h"
#include "include/quetzal/explain/Conclusion.h"
#include "include/quetzal/fleet/Effect.h"
#include "include/quetzal/platform/EtcdStore.h"
#include "include/quetzal/process/Application.h"
#include "include/quetzal/process/StopSignals.h"
#include "include/quetzal/promote/Promotion.h"
#include "include/quetzal/promote/TrialReport.h"
#include "include/quetzal/settings/Node.h"
#include "include/quetzal/view/View.h"

#include <QtCore/QCoreApplication>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using quetzal::settings::SettingsError;
namespace document = quetzal::document;
namespace explain = quetzal::explain;
namespace fleet = quetzal::fleet;
namespace platform = quetzal::platform;
namespace promote = quetzal::promote;

/** The parsed command line. */
struct Options
{
  std::string command_;
  std::string file_; ///< The document; for explain, the name of a job, task or host.
  std::vector<std::string> logs_;
  std::string platform_;
  std::string tried_;
  bool json_ = false;
  bool acceptRisk_ = false;
};

/** A document with the bytes that it was built from. */
struct Input
{
  std::string yaml_;
  document::DocumentPtr document_;
};

Input
ReadInput(const std::string& aFile)
{
  const std::string yaml = quetzal::settings::ReadFile(aFile);
  return { yaml, document::MakeDocument(yaml, aFile) };
}

int
Check(const Input& aInput)
{
  const document::Document& document = *aInput.document_;
  std::cout << "ok " << document.environment_ << ": " << document.hosts_.size() << " hosts, "
            << document.pools_.size() << " pools, " << document.services_.size()
            << " services, digest " << document::DigestOf(aInput.yaml_) << '\n';
  return 0;
}

int
Trial(const Input& aInput, const Options& aOptions)
{
  platform::EtcdStore store({ quetzal::settings::ParseEndpoint("platform", aOptions.platform_) });
  platform::StoreResult current;
  const std::string key = quetzal::view::DocumentKey(aInput.document_->environment_);
  store.Range(key, false, [&current](const platform::StoreResult& aResult) {
    current = aResult;
    QCoreApplication::quit();
  });
  QCoreApplication::exec();
  if (current.status_ != platform::StoreStatus::kSucceeded) {
    std::cout << promote::ToString(promote::PromoteStatus::kStoreUnreachable) << '\n';
    return quetzal::process::kExitFailure;
  }
  document::DocumentPtr inForce;
  promote::TrialToken token{ document::DigestOf(aInput.yaml_), 0 };
  if (!current.read_.empty()) {
    inForce = document::MakeDocument(current.read_.front().value_, "document in force");
    token.revision_ = current.read_.front().modRevision_;
  }
  const fleet::Effect effect = fleet::EffectOf(inForce.get(), *aInput.document_);
  std::cout << (aOptions.json_ ? promote::ToJson(effect, token) : promote::ToTable(effect, token));
  return 0;
}

int
Report(const promote::PromoteResult& aResult)
{
  std::cout << promote::ToString(aResult.status_) << " revision " << aResult.revision_ << '\n';
  const bool inForce = aResult.status_ == promote::PromoteStatus::kInForce;
  return inForce ? 0 : quetzal::process::kExitFailure;
}

int
Promote(const Input& aInput, const Options& aOptions)
{
  const auto token = promote::ParseToken(aOptions.tried_);
  if (!token || token->digest_ != document::DigestOf(aInput.yaml_)) {
    return Report({ promote::PromoteStatus::kNotTried, 0 });
  }
  const bool safe = fleet::IsSafe(fleet::EffectOf(nullptr, *aInput.document_));
  if (!safe && !aOptions.acceptRisk_) {
    return Report({ promote::PromoteStatus::kUnsafe, 0 });
  }
  platform::EtcdStore store({ quetzal::settings::ParseEndpoint("platform", aOptions.platform_) });
  promote::Promotion promotion(store, aInput.document_->environment_);
  promote::PromoteResult result;
  promotion.Start(aInput.yaml_, *token, [&result](const promote::PromoteResult& aResult) {
    result = aResult;
    QCoreApplication::quit();
  });
  QCoreApplication::exec();
  return Report(result);
}

void
AddRecords(std::istream& aLog, explain::HistoryBuilder& aHistory)
{
  std::string line;
  while (std::getline(aLog, line)) {
    if (const auto record = explain::ParseLogRecord(line)) {
      aHistory.Add(*record);
    }
  }
}

/** Prints what logs say about a job, a task or a host; they are read from standard input if no file
 * is named. */
int
Explain(const Options& aOptions)
{
  explain::HistoryBuilder builder(explain::MakeSubject(aOptions.file_));
  if (aOptions.logs_.empty()) {
    AddRecords(std::cin, builder);
  }
  for (const std::string& file : aOptions.logs_) {
    std::ifstream log(file);
    if (!log) {
      throw SettingsError(file, 0, "logs", "a file that can be read");
    }
    AddRecords(log, builder);
  }
  const explain::History history = builder.Build();
  std::cout << explain::ToText(history);
  return history.records_.empty() ? quetzal::process::kExitFailure : 0;
}

Options
ParseOptions(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Operates an environment of quetzalwheel.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> platform(
    "p", "platform", "Address and port of the platform", false, "127.0.0.1:2379", "address", line);
  TCLAP::ValueArg<std::string> tried(
    "t", "tried", "promote: token that the trial printed after 'tried'", false, "", "token", line);
  TCLAP::SwitchArg json("j", "json", "trial: print JSON", line);
  TCLAP::SwitchArg acceptRisk(
    "",
    "accept-risk",
    "promote: even if a promise is at risk or a host cannot be maintained",
    line);
  std::vector<std::string> commands{ "check", "trial", "promote", "explain" };
  TCLAP::ValuesConstraint<std::string> allowed(commands);
  TCLAP::UnlabeledValueArg<std::string> command(
    "command", "The command to run", true, "", &allowed, line);
  TCLAP::UnlabeledValueArg<std::string> file(
    "subject",
    "The document (YAML); explain: the id of a job or task, or a host's name",
    true,
    "",
    "subject",
    line);
  TCLAP::UnlabeledMultiArg<std::string> logs(
    "logs", "explain: the logs of all processes (standard input if none)", false, "log", line);
  line.parse(aCount, aArguments);
  if (!logs.getValue().empty() && command.getValue() != "explain") {
    throw SettingsError(
      logs.getValue().front(), 0, "logs", "no further file, as only explain reads logs");
  }
  return { command.getValue(), file.getValue(), logs.getValue(),      platform.getValue(),
           tried.getValue(),   json.getValue(), acceptRisk.getValue() };
}

int
Execute(const Options& aOptions)
{
  if (aOptions.command_ == "explain") {
    return Explain(aOptions);
  }
  const Input input = ReadInput(aOptions.file_);
  if (aOptions.command_ == "check") {
    return Check(input);
  }
  return aOptions.command_ == "trial" ? Trial(input, aOptions) : Promote(input, aOptions);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const quetzal::process::Application application(aCount, aArguments);
  try {
    return Execute(ParseOptions(aCount, aArguments));
  } catch (const SettingsError& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return quetzal::process::kExitFailure;
  }
}
