#pragma once

#define _GLIBCXX_VISIBILITY(aVisibility)
