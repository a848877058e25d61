@killer-request
Feature: A request that crashes its targets is stopped, and no other is blamed

  Scenario: One killer request sent again and again among innocents
    Given a site with 2 entries, 5 model targets and 0 booking targets
    And 4 callers stream answers of 40 tokens
    When the killer request is sent 6 times through every entry in turn
    Then at most 2 targets have fallen
    When 1000 ms pass
    Then the innocents sent together with the killer are served
