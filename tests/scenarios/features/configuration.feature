Feature: A configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force on every entry VM within 8 seconds
    Given a zone with 2 entry VMs and 1 endpoints
    When the operator applies weight 3 on base 1
    Then version 2 is in force on every entry VM within 8 seconds

  Scenario: A stale read of the platform does not revert a version
    Given a zone with 2 entry VMs and 1 endpoints
    When the platform has the fault stale
    And the operator applies weight 3 on base 1
    And 3 poll intervals have passed
    Then the version has not decreased on any entry VM

  Scenario: Repeating an apply whose response was lost creates one version
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform drops the response to the next write
    And the operator applies weight 3 on base 1
    Then the operator's exit status is UNKNOWN
    When the operator applies weight 3 on base 1
    Then the operator's exit status is SUCCESS
    And version 2 is in force on every entry VM within 8 seconds

  Scenario: Of two operators on the same base, the second gets a conflict
    Given a zone with 1 entry VMs and 1 endpoints
    When the operator applies weight 3 on base 1
    And the operator applies weight 4 on base 1
    Then the operator's exit status is CONFLICT
    And version 2 is in force on every entry VM within 8 seconds

  Scenario: An entry VM that starts during a platform outage gets the version from peers
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform has the fault down
    And entry-2 starts
    Then version 1 is in force on every entry VM within 60 seconds

  Scenario: An entry VM that cannot get a version is not ready
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform has the fault down
    And entry-2 starts without seeds
    Then entry-2 stays not ready for 3 seconds
