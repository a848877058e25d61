@overload
Feature: Under overload and a storm of resends the targets do as much work as they can, and the right work

  Scenario: Twice the capacity, every refused caller sending again at once
    Given a site with 2 entries and 2 model targets that run 4 requests and let 4 wait
    And the best goodput of 8 and of 12 callers is known
    When 20 urgent callers of "large", 4 of "small" and 28 patient ones send again at once when refused
    Then the goodput is within 10 % of the best
    And no target was given more than 4 requests at a time
    And urgent callers had more answers than patient ones
    And organisation "small" had more of the urgent answers than its share of the callers by half or more
    And each entry's retries are within 20 % of its calls
