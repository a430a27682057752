#include "include/quetzal/promote/TrialReport.h"

#include <QtCore/QJsonArray>
#include <QtCore/QJsonDocument>
#include <QtCore/QJsonObject>
#include <iomanip>
#include <sstream>

namespace quetzal::promote {
namespace {

QString
ToQString(const std::string& aText)
{
  return QString::fromStdString(aText);
}

QJsonArray
ToArray(const std::vector<std::string>& aNames)
{
  QJsonArray array;
  for (const std::string& name : aNames) {
    array.append(ToQString(name));
  }
  return array;
}

QJsonObject
ToObject(const fleet::Margin& aMargin)
{
  return { { "service", ToQString(aMargin.service_) },
           { "hosts", aMargin.hosts_ },
           { "worst_rack", aMargin.worstRack_ },
           { "promised", aMargin.promised_ },
           { "spare", aMargin.Spare() } };
}

std::string
Join(const std::vector<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text.empty() ? "none" : text;
}

} // namespace

std::string
ToTable(const fleet::Effect& aEffect, const TrialToken& aToken)
{
  static constexpr int kNameWidth = 24;
  static constexpr int kNumberWidth = 11;
  std::ostringstream text;
  text << std::left << std::setw(kNameWidth) << "service" << std::right;
  for (const char* title : { "hosts", "worst rack", "promised", "spare" }) {
    text << std::setw(kNumberWidth) << title;
  }
  text << '\n';
  for (const fleet::Margin& margin : aEffect.margins_) {
    text << std::left << std::setw(kNameWidth) << margin.service_ << std::right;
    for (const int number :
         { margin.hosts_, margin.worstRack_, margin.promised_, margin.Spare() }) {
      text << std::setw(kNumberWidth) << number;
    }
    text << '\n';
  }
  text << "moves " << aEffect.moves_.size() << '\n';
  for (const fleet::Move& move : aEffect.moves_) {
    text << "  " << move.host_ << ": " << (move.from_.empty() ? "new" : move.from_) << " -> "
         << (move.to_.empty() ? "gone" : move.to_) << '\n';
  }
  text << "buffer cost " << aEffect.bufferHosts_ << " hosts, " << aEffect.spareHosts_
       << " of them in spare pools\n";
  text << "roll-out time of a wave " << aEffect.waveTime_.count() << " min in "
       << aEffect.waveBatches_ << " batches\n";
  text << "promises at risk: " << Join(aEffect.atRisk_) << '\n';
  text << "hosts that no wave can maintain: " << Join(aEffect.blockedHosts_) << '\n';
  text << "tried " << ToString(aToken) << '\n';
  return text.str();
}

std::string
ToJson(const fleet::Effect& aEffect, const TrialToken& aToken)
{
  QJsonArray margins;
  for (const fleet::Margin& margin : aEffect.margins_) {
    margins.append(ToObject(margin));
  }
  QJsonArray moves;
  for (const fleet::Move& move : aEffect.moves_) {
    moves.append(QJsonObject{ { "host", ToQString(move.host_) },
                              { "from", ToQString(move.from_) },
                              { "to", ToQString(move.to_) } });
  }
  const QJsonObject report{ { "services", margins },
                            { "moves", moves },
                            { "buffer_hosts", aEffect.bufferHosts_ },
                            { "spare_hosts", aEffect.spareHosts_ },
                            { "wave_batches", aEffect.waveBatches_ },
                            { "wave_minutes", static_cast<qint64>(aEffect.waveTime_.count()) },
                            { "at_risk", ToArray(aEffect.atRisk_) },
                            { "stuck", ToArray(aEffect.blockedHosts_) },
                            { "tried", ToQString(ToString(aToken)) } };
  return QJsonDocument(report).toJson().toStdString();
}

} // namespace quetzal::promote
