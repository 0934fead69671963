/**
 * The types shared by all modules: identifiers, client accounts, failure domains, versions, costs and typed
 * reasons. Value classes validate their arguments on construction.
 */
package org.sassafrastrail.model;
