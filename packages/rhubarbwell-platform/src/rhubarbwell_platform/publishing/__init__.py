"""Publishing of documents to the platform and reading of published versions."""

from rhubarbwell_platform.publishing.changes import *
from rhubarbwell_platform.publishing.differences import *
from rhubarbwell_platform.publishing.fence import *
from rhubarbwell_platform.publishing.history import *
from rhubarbwell_platform.publishing.log import *
from rhubarbwell_platform.publishing.outcomes import *
from rhubarbwell_platform.publishing.publish import *
from rhubarbwell_platform.publishing.recorded_outcomes import *
