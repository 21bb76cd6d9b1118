Feature: A configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force on every entry VM within 8 seconds
    Given a zone with 2 entry VMs and 1 endpoints
    When the operator applies weight 3 on base 1
    Then version 2 is in force on every entry VM within 8 seconds

  Scenario: A stale read of the platform does not revert a version
    Given a zone with 2 entry VMs and 1 endpoints
    When the platform shows the fault stale
    And the operator applies weight 3 on base 1
    And 3 polls of the platform have passed
    Then no entry VM has ever shown a version lower than an earlier one

  Scenario: An apply whose answer was lost is run again and gives one version
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform loses the answer of the next write
    And the operator applies weight 3 on base 1
    Then the operator's exit status is UNKNOWN
    When the operator applies weight 3 on base 1
    Then the operator's exit status is SUCCESS
    And version 2 is in force on every entry VM within 8 seconds

  Scenario: Of two operators on one base, one is told that it lost
    Given a zone with 1 entry VMs and 1 endpoints
    When the operator applies weight 3 on base 1
    And the operator applies weight 4 on base 1
    Then the operator's exit status is CONFLICT
    And version 2 is in force on every entry VM within 8 seconds

  Scenario: An entry VM that starts during an outage learns from its peers
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform shows the fault down
    And entry-2 starts
    Then version 1 is in force on every entry VM within 60 seconds

  Scenario: An entry VM that cannot learn a version is not ready
    Given a zone with 1 entry VMs and 1 endpoints
    When the platform shows the fault down
    And entry-2 starts without seeds
    Then entry-2 stays not ready for 3 seconds
