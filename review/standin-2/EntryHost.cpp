#include "review/standin-2/EntryHost.h"

#include <QtCore/QFile>
#include <QtCore/QRegularExpression>
#include <fstream>

namespace review {
namespace {

constexpr std::size_t kConnections = 64;

QString
ReadFile(const QString& aName)
{
  QFile file(aName);
  if (!file.open(QIODevice::ReadOnly)) {
    throw std::runtime_error("cannot read " + aName.toStdString());
  }
  return QString::fromUtf8(file.readAll());
}

/** Fills the deploy file's template as DEPLOY.md says. There is no advice service. */
QString
FillTemplate(QString aText, const std::map<QString, QString>& aValues)
{
  static const QRegularExpression advice("\\{\\{#advice\\}\\}.*?\\{\\{/advice\\}\\}\\n",
                                         QRegularExpression::DotMatchesEverythingOption);
  static const QRegularExpression farFactor("\\{\\{[#/]bounds\\.far-x\\}\\}\\n");
  aText.remove(advice).remove(farFactor);
  for (const auto& [name, value] : aValues) {
    aText.replace("{{" + name + "}}", value);
  }
  if (aText.contains("{{")) {
    throw std::runtime_error("the template has a field that is not known");
  }
  return aText;
}

/** Returns the words of the role's command in the deploy file. */
QStringList
CommandOfRole()
{
  static const QRegularExpression run("^run = \"([^\"]*)\"", QRegularExpression::MultilineOption);
  const auto match = run.match(ReadFile("deploy/system.toml"));
  if (!match.hasMatch()) {
    throw std::runtime_error("the deploy file has no command");
  }
  return match.captured(1).split(' ');
}

} // namespace

EntryHost::EntryHost(const std::string& aName,
                     const std::string& aAddress,
                     const std::string& aZone,
                     const Platform& aPlatform,
                     const std::string& aFolder,
                     Record& aRecord)
  : name_(aName)
  , settingsFile_(aFolder + "/" + aName + ".yaml")
  , logFile_(aFolder + "/" + aName + ".log")
  , callers_{ aAddress, FreePort(aAddress) }
  , client_(std::make_unique<quetzal::connection::Client>(
      callers_,
      quetzal::connection::ClientOptions{ {}, kConnections },
      nullptr))
  , record_(aRecord)
{
  const auto text = [](const std::string& aText) { return QString::fromStdString(aText); };
  const quetzal::settings::Endpoint ready{ aAddress, FreePort(aAddress) };
  const std::map<QString, QString> values{
    { "node", text(aName) },
    { "ip", text(aAddress) },
    { "zone", text(aZone) },
    { "port-range.0", QString::number(FreePort(aAddress)) },
    { "listen.front", text(quetzal::settings::ToString(callers_)) },
    { "listen.ready", text(quetzal::settings::ToString(ready)) },
    { "platform.address", text(quetzal::settings::ToString(aPlatform.StoreAddress())) },
    { "cloud.address", text(quetzal::settings::ToString(aPlatform.MachinesAddress())) },
    { "cloud.duty-per-s", "64" },
    { "cloud.rate-per-s", "64" },
    { "bounds.grace-s", "6" },
    { "bounds.hold-max-ms", "6000" },
    { "bounds.lease-ms", "3000" },
    { "bounds.status_s", "120" },
    { "bounds.move-s", "1.5" },
    { "bounds.maintenance-s", "2" },
    { ".", "3" },
    { "limits.cpu-share", "0.25" },
    { "limits.memory-mb", QString::number(kMemoryLimitMb) },
    { "limits.max-fds", "4100" },
  };
  std::ofstream(settingsFile_)
    << FillTemplate(ReadFile("deploy/settings.yaml"), values).toStdString();
  process_.setStandardOutputFile(text(logFile_), QIODevice::Append);
  process_.setStandardErrorFile(text(aFolder + "/" + aName + ".err"), QIODevice::Append);
  QProcessEnvironment environment;
  environment.insert("PATH", qEnvironmentVariable("PATH"));
  environment.insert("QUETZALWHEEL_NODE_FILE", text(settingsFile_));
  process_.setProcessEnvironment(environment);
  QObject::connect(&process_, &QProcess::finished, [this](int aCode) {
    ownEnds_ += isKilled_ ? 0 : 1;
    if (isKilled_) {
      record_.Write(name_, " was killed");
    } else {
      record_.Write(name_, " ended by itself with code ", aCode);
    }
  });
}

EntryHost::~EntryHost()
{
  isKilled_ = true;
  process_.kill();
  process_.waitForFinished();
}

void
EntryHost::Start()
{
  QStringList words = CommandOfRole();
  const QString program = words.takeFirst();
  isKilled_ = false;
  process_.start(program, words);
  if (!process_.waitForStarted()) {
    throw std::runtime_error("cannot start " + program.toStdString());
  }
  record_.Write(name_, " started");
}

void
EntryHost::Kill()
{
  isKilled_ = true;
  process_.kill();
}

bool
EntryHost::HasBegunCell(const std::string& aCell) const
{
  return ReadFile(QString::fromStdString(logFile_))
    .contains(QString::fromStdString("event=cell-begun cell=" + aCell + " "));
}

double
EntryHost::MemoryMb() const
{
  constexpr double kPagesPerMb = 256;
  std::ifstream file("/proc/" + std::to_string(process_.processId()) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident / kPagesPerMb;
}

} // namespace review
