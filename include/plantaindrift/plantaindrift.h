#pragma once

/// \file
/// \brief Umbrella header of the library.

#include "plantaindrift/Forward.h"
#include "plantaindrift/agent/AgentPipeline.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/configuration/Configuration.h"
#include "plantaindrift/entry/EntryPipeline.h"
#include "plantaindrift/membership/AgentControl.h"
#include "plantaindrift/membership/Detector.h"
#include "plantaindrift/membership/EntryControl.h"
#include "plantaindrift/membership/Member.h"
#include "plantaindrift/membership/MemberTable.h"
#include "plantaindrift/membership/MonitorSelection.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/membership/WatcherSelection.h"
#include "plantaindrift/packet/Encapsulation.h"
#include "plantaindrift/packet/FlowMessage.h"
#include "plantaindrift/packet/InnerPacket.h"
#include "plantaindrift/packet/Refusal.h"
#include "plantaindrift/packet/RouteOption.h"
#include "plantaindrift/platform/HttpObjectStore.h"
#include "plantaindrift/platform/ObjectStore.h"
